package quarantine

import (
	"time"

	"pistachioshore.dev/table"
)

// CrashTrackerSettings determines when a request is considered to crash upstreams.
type CrashTrackerSettings struct {
	CrashThreshold  int           // upstreams that crash without any success before the request is blocked
	CrashTTL        time.Duration // time for which crashes count and a request is blocked
	SuccessTTL      time.Duration // time for which a success proves that the request does not crash upstreams
	MaxFingerprints int           // maximum number of fingerprints tracked
}

// DefaultCrashTrackerSettings returns the default settings. The threshold is 3 because
// the platform's rules for requests that crash upstreams apply from the third crash.
func DefaultCrashTrackerSettings() CrashTrackerSettings {
	return CrashTrackerSettings{CrashThreshold: 3, CrashTTL: time.Minute, SuccessTTL: 10 * time.Second, MaxFingerprints: 4096}
}

// CrashTracker counts the upstreams that crashed while they ran a request. Unlike Table it uses no canary requests,
// because running each new request on one shard first would double its latency. Any success clears the request, because
// a request that crashes upstreams crashes all of them. Successes are kept for a while, because a crash, which shows as
// a refused connection after a lost one, is often detected only after another shard has answered. It is safe for
// concurrent use.
type CrashTracker struct {
	settings CrashTrackerSettings
	state    *table.Guarded[crashTracker]
}

type crashTracker struct {
	crashed   *table.TTLMap[uint64, map[string]bool] // upstreams by fingerprint
	succeeded *table.TTLMap[uint64, bool]
}

// NewCrashTracker returns a tracker without recorded crashes.
func NewCrashTracker(s CrashTrackerSettings) *CrashTracker {
	st := crashTracker{crashed: table.NewTTLMap[uint64, map[string]bool](s.MaxFingerprints), succeeded: table.NewTTLMap[uint64, bool](s.MaxFingerprints)}
	return &CrashTracker{settings: s, state: table.NewGuarded(table.RankQuarantine, st)}
}

// RecordCrash records that an upstream crashed while it ran the request with fingerprint fp, and reports whether the
// crash counts as new.
func (c *CrashTracker) RecordCrash(now time.Time, fp uint64, upstream string) bool {
	return table.WithResult(c.state, func(st *crashTracker) bool {
		if _, ok := st.succeeded.Get(fp, now); ok {
			return false
		}
		upstreams, ok := st.crashed.Get(fp, now)
		if !ok {
			upstreams = map[string]bool{}
		}
		if upstreams[upstream] || len(upstreams) >= c.settings.CrashThreshold {
			return false
		}
		upstreams[upstream] = true
		st.crashed.Put(fp, upstreams, now.Add(c.settings.CrashTTL))
		return true
	})
}

// RecordSuccess records that an upstream has run the request, and clears the crashes recorded for it.
func (c *CrashTracker) RecordSuccess(now time.Time, fp uint64) {
	c.state.With(func(st *crashTracker) {
		st.crashed.Delete(fp)
		st.succeeded.Put(fp, true, now.Add(c.settings.SuccessTTL))
	})
}

// Blocked reports whether the request must not run, because CrashThreshold upstreams have crashed while running it.
func (c *CrashTracker) Blocked(now time.Time, fp uint64) bool {
	return table.WithResult(c.state, func(st *crashTracker) bool {
		upstreams, ok := st.crashed.Get(fp, now)
		return ok && len(upstreams) >= c.settings.CrashThreshold
	})
}

// Crash is an upstream that crashed while it ran a request.
type Crash struct {
	Fingerprint uint64 // hash of the content of the request
	Upstream    string // ID of the upstream
}

// Crashes returns the recorded crashes of the latest maxRequests requests, in no particular order.
func (c *CrashTracker) Crashes(now time.Time, maxRequests int) []Crash {
	return table.WithResult(c.state, func(st *crashTracker) []Crash {
		var list []Crash
		st.crashed.Each(now, func(fp uint64, upstreams map[string]bool) {
			if maxRequests <= 0 {
				return
			}
			maxRequests--
			for id := range upstreams {
				list = append(list, Crash{fp, id})
			}
		})
		return list
	})
}

// BlockedCount returns the number of requests that must not run.
func (c *CrashTracker) BlockedCount(now time.Time) int {
	return table.WithResult(c.state, func(st *crashTracker) int {
		n := 0
		st.crashed.Each(now, func(_ uint64, upstreams map[string]bool) {
			if len(upstreams) >= c.settings.CrashThreshold {
				n++
			}
		})
		return n
	})
}
