package quarantine

import (
	"time"

	"pistachioshore.dev/table"
)

// CrashTrackerSettings are the rules by which a request is held to crash upstreams.
type CrashTrackerSettings struct {
	CrashThreshold  int           // upstreams that crashed under it without any success before it is blocked
	CrashTTL        time.Duration // time for which crashes are remembered and a request is blocked
	SuccessTTL      time.Duration // time for which a success shows that the request crashes nothing
	MaxFingerprints int           // fingerprints remembered
}

// DefaultCrashTrackerSettings returns the usual settings: the platform's rules count from the third crash.
func DefaultCrashTrackerSettings() CrashTrackerSettings {
	return CrashTrackerSettings{CrashThreshold: 3, CrashTTL: time.Minute, SuccessTTL: 10 * time.Second, MaxFingerprints: 4096}
}

// CrashTracker counts the upstreams that crashed while they ran a request, without canary requests: a run on
// one shard first would double the time of each new request. Any success clears the request, because one
// that crashes upstreams crashes each of them; that a connection was refused after it broke is often
// found out after another shard has answered, so successes are remembered. It is safe for concurrent use.
type CrashTracker struct {
	settings CrashTrackerSettings
	state    *table.Guarded[suspects]
}

type suspects struct {
	crashed   *table.TTLMap[uint64, map[string]bool] // upstreams by fingerprint
	succeeded *table.TTLMap[uint64, bool]
}

// NewCrashTracker returns a table without crashes.
func NewCrashTracker(s CrashTrackerSettings) *CrashTracker {
	st := suspects{crashed: table.NewTTLMap[uint64, map[string]bool](s.MaxFingerprints), succeeded: table.NewTTLMap[uint64, bool](s.MaxFingerprints)}
	return &CrashTracker{settings: s, state: table.NewGuarded(table.RankQuarantine, st)}
}

// RecordCrash notes that an upstream crashed while it ran the request, and reports whether that is new.
func (s *CrashTracker) RecordCrash(now time.Time, fp uint64, upstream string) bool {
	return table.WithResult(s.state, func(st *suspects) bool {
		if _, ok := st.succeeded.Get(fp, now); ok {
			return false
		}
		upstreams, ok := st.crashed.Get(fp, now)
		if !ok {
			upstreams = map[string]bool{}
		}
		if upstreams[upstream] || len(upstreams) >= s.settings.CrashThreshold {
			return false
		}
		upstreams[upstream] = true
		st.crashed.Put(fp, upstreams, now.Add(s.settings.CrashTTL))
		return true
	})
}

// RecordSuccess clears the request.
func (s *CrashTracker) RecordSuccess(now time.Time, fp uint64) {
	s.state.With(func(st *suspects) {
		st.crashed.Delete(fp)
		st.succeeded.Put(fp, true, now.Add(s.settings.SuccessTTL))
	})
}

// Blocked reports whether the request may not run.
func (s *CrashTracker) Blocked(now time.Time, fp uint64) bool {
	return table.WithResult(s.state, func(st *suspects) bool {
		upstreams, ok := st.crashed.Get(fp, now)
		return ok && len(upstreams) >= s.settings.CrashThreshold
	})
}
