package quarantine

import (
	"time"

	"pistachioshore.dev/table"
)

// SuspectSettings are the rules by which a request is held to crash upstreams.
type SuspectSettings struct {
	Crashes int           // upstreams that crashed under it without any success before it is blocked
	Memory  time.Duration // time for which crashes are remembered and a request is blocked
	Success time.Duration // time for which a success shows that the request crashes nothing
	Limit   int           // fingerprints remembered
}

// SuspectDefaults returns the usual settings: the platform's rules count from the third crash.
func SuspectDefaults() SuspectSettings {
	return SuspectSettings{Crashes: 3, Memory: time.Minute, Success: 10 * time.Second, Limit: 4096}
}

// Suspects counts the upstreams that crashed while they ran a request, without canary requests: a run on
// one shard first would double the time of each new request. Any success clears the request, because one
// that crashes upstreams crashes each of them; that a connection was refused after it broke is often
// found out after another shard has answered, so successes are remembered. It is safe for concurrent use.
type Suspects struct {
	settings SuspectSettings
	state    *table.Guarded[suspects]
}

type suspects struct {
	crashed   *table.Recent[uint64, map[string]bool] // upstreams by fingerprint
	succeeded *table.Recent[uint64, bool]
}

// NewSuspects returns a table without crashes.
func NewSuspects(s SuspectSettings) *Suspects {
	st := suspects{crashed: table.NewRecent[uint64, map[string]bool](s.Limit), succeeded: table.NewRecent[uint64, bool](s.Limit)}
	return &Suspects{settings: s, state: table.NewGuarded(table.RankQuarantine, st)}
}

// Crashed notes that an upstream crashed while it ran the request, and reports whether that is new.
func (s *Suspects) Crashed(now time.Time, fp uint64, upstream string) bool {
	return table.Read(s.state, func(st *suspects) bool {
		if _, ok := st.succeeded.Get(fp, now); ok {
			return false
		}
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
func (s *Suspects) Succeeded(now time.Time, fp uint64) {
	s.state.With(func(st *suspects) {
		st.crashed.Delete(fp)
		st.succeeded.Put(fp, true, now.Add(s.settings.Success))
	})
}

// Blocked reports whether the request may not run.
func (s *Suspects) Blocked(now time.Time, fp uint64) bool {
	return table.Read(s.state, func(st *suspects) bool {
		upstreams, ok := st.crashed.Get(fp, now)
		return ok && len(upstreams) >= s.settings.Crashes
	})
}
