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

// Crash is the crash of an upstream while it ran a request. An upstream that starts again may keep its ID, and can then
// crash again.
type Crash struct {
	Fingerprint uint64    // hash of the content of the request
	Upstream    string    // ID of the upstream
	StartedAt   time.Time // start of the upstream that ended with the crash
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
	crashed   *table.TTLMap[uint64, map[start]bool] // starts of upstreams that crashed, by fingerprint
	succeeded *table.TTLMap[uint64, bool]
}

// start identifies one start of an upstream.
type start struct {
	upstream string
	at       int64 // in ms since the Unix epoch, because times with different locations are not equal
}

// NewCrashTracker returns a tracker without recorded crashes.
func NewCrashTracker(s CrashTrackerSettings) *CrashTracker {
	st := crashTracker{crashed: table.NewTTLMap[uint64, map[start]bool](s.MaxFingerprints), succeeded: table.NewTTLMap[uint64, bool](s.MaxFingerprints)}
	return &CrashTracker{settings: s, state: table.NewGuarded(table.RankQuarantine, st)}
}

// RecordCrash records a crash, and reports whether it counts as new.
func (c *CrashTracker) RecordCrash(now time.Time, crash Crash) bool {
	return table.WithResult(c.state, func(st *crashTracker) bool {
		fp, s := crash.Fingerprint, start{crash.Upstream, crash.StartedAt.UnixMilli()}
		if _, ok := st.succeeded.Get(fp, now); ok {
			return false
		}
		starts, ok := st.crashed.Get(fp, now)
		if !ok {
			starts = map[start]bool{}
		}
		if starts[s] || len(starts) >= c.settings.CrashThreshold {
			return false
		}
		starts[s] = true
		st.crashed.Put(fp, starts, now.Add(c.settings.CrashTTL))
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
		starts, ok := st.crashed.Get(fp, now)
		return ok && len(starts) >= c.settings.CrashThreshold
	})
}

// Crashes returns the recorded crashes of the latest maxRequests requests, in no particular order.
func (c *CrashTracker) Crashes(now time.Time, maxRequests int) []Crash {
	return table.WithResult(c.state, func(st *crashTracker) []Crash {
		var list []Crash
		st.crashed.Each(now, func(fp uint64, starts map[start]bool) {
			if maxRequests <= 0 {
				return
			}
			maxRequests--
			for s := range starts {
				list = append(list, Crash{fp, s.upstream, time.UnixMilli(s.at)})
			}
		})
		return list
	})
}

// BlockedCount returns the number of requests that must not run.
func (c *CrashTracker) BlockedCount(now time.Time) int {
	return table.WithResult(c.state, func(st *crashTracker) int {
		n := 0
		st.crashed.Each(now, func(_ uint64, starts map[start]bool) {
			if len(starts) >= c.settings.CrashThreshold {
				n++
			}
		})
		return n
	})
}
