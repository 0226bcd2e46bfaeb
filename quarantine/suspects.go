package quarantine

import (
	"time"

	"pistachioshore.dev/table"
)

// CrashTrackerSettings determines when a request is considered to crash upstreams.
type SuspectSettings struct {
	Crashes int           // upstreams that crash without any success before the request is blocked
	Memory  time.Duration // time for which crashes count and a request is blocked
	Success time.Duration // time for which a success proves that the request does not crash upstreams
	Limit   int           // maximum number of fingerprints tracked
}

// DefaultCrashTrackerSettings returns the default settings. The platform's rules apply from the third crash.
func SuspectDefaults() SuspectSettings {
	return SuspectSettings{Crashes: 3, Memory: time.Minute, Success: 10 * time.Second, Limit: 4096}
}

// CrashTracker counts the upstreams that crashed while they ran a request. Unlike Table it uses no canary requests,
// because running each new request on one shard first would double its latency. Any success clears the request, because
// a request that crashes upstreams crashes all of them. Successes are kept for a while, because a crash, which shows as
// a refused connection after a lost one, is often detected only after another shard has answered. It is safe for
// concurrent use.
type Suspects struct {
	settings SuspectSettings
	state    *table.Guarded[suspects]
}

type suspects struct {
	crashed   *table.Recent[uint64, map[string]bool] // upstreams by fingerprint
	succeeded *table.Recent[uint64, bool]
}

// NewCrashTracker returns a tracker without recorded crashes.
func NewSuspects(s SuspectSettings) *Suspects {
	st := suspects{crashed: table.NewRecent[uint64, map[string]bool](s.Limit), succeeded: table.NewRecent[uint64, bool](s.Limit)}
	return &Suspects{settings: s, state: table.NewGuarded(table.RankQuarantine, st)}
}

// RecordCrash records that an upstream crashed while it ran the request, and reports whether the crash counts as new.
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

// RecordSuccess clears the crashes of the request.
func (s *Suspects) Succeeded(now time.Time, fp uint64) {
	s.state.With(func(st *suspects) {
		st.crashed.Delete(fp)
		st.succeeded.Put(fp, true, now.Add(s.settings.Success))
	})
}

// Blocked reports whether the request must not run.
func (s *Suspects) Blocked(now time.Time, fp uint64) bool {
	return table.Read(s.state, func(st *suspects) bool {
		upstreams, ok := st.crashed.Get(fp, now)
		return ok && len(upstreams) >= s.settings.Crashes
	})
}
