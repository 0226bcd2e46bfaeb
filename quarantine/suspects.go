package quarantine

import (
	"time"

	"pistachioshore.dev/table"
)

// SuspectSettings are the rules by which a request is held to crash upstreams.
type SuspectSettings struct {
	Crashes int           // upstreams that crashed under it without any success before it is blocked
	Memory  time.Duration // time for which crashes are remembered and a request is blocked
	Limit   int           // fingerprints remembered
}

// SuspectDefaults returns the usual settings: the platform's rules count from the third crash.
func SuspectDefaults() SuspectSettings {
	return SuspectSettings{Crashes: 3, Memory: time.Minute, Limit: 4096}
}

// Suspects counts the upstreams that crashed while they ran a request, without canary requests: a run on
// one shard first would double the time of each new request. Any success clears the request, because one
// that crashes upstreams crashes each of them. It is safe for concurrent use.
type Suspects struct {
	settings SuspectSettings
	state    *table.Guarded[suspects]
}

type suspects struct {
	crashed *table.Recent[uint64, map[string]bool] // upstreams by fingerprint
}

// NewSuspects returns a table without crashes.
func NewSuspects(s SuspectSettings) *Suspects {
	crashed := table.NewRecent[uint64, map[string]bool](s.Limit)
	return &Suspects{settings: s, state: table.NewGuarded(table.RankQuarantine, suspects{crashed: crashed})}
}

// Crashed notes that an upstream crashed while it ran the request, and reports whether that is new.
func (s *Suspects) Crashed(now time.Time, fp uint64, upstream string) bool {
	return table.Read(s.state, func(st *suspects) bool {
		upstreams, ok := st.crashed.Get(fp, now)
		if !ok {
			upstreams = map[string]bool{}
		}
		if upstreams[upstream] || len(upstreams) >= s.settings.Crashes {
			return false
		}
		upstreams[upstream] = true
		st.crashed.Put(fp, upstreams, now.Add(s.settings.Memory))
		return true
	})
}

// Succeeded clears the request.
func (s *Suspects) Succeeded(fp uint64) {
	s.state.With(func(st *suspects) { st.crashed.Delete(fp) })
}

// Blocked reports whether the request may not run.
func (s *Suspects) Blocked(now time.Time, fp uint64) bool {
	return table.Read(s.state, func(st *suspects) bool {
		upstreams, ok := st.crashed.Get(fp, now)
		return ok && len(upstreams) >= s.settings.Crashes
	})
}
