package quarantine

import (
	"time"

	"pistachioshore.dev/table"
)

// CrashTrackerSettings determines when a request is considered to crash upstreams.
type CrashTrackerSettings struct {
	CrashThreshold  int           // crashes without any success after which the request is blocked
	CrashTTL        time.Duration // time for which the crashes of a request that is not blocked count
	MinBlock        time.Duration // time for which a request is blocked first; it doubles with each block
	MaxBlock        time.Duration // upper bound of that time, and the time for which an ended block is remembered
	SuccessTTL      time.Duration // time for which a success proves that the request does not crash upstreams
	MaxFingerprints int           // maximum number of fingerprints tracked
}

// DefaultCrashTrackerSettings returns the default settings. The threshold is 3 because
// the platform's rules for requests that crash upstreams apply from the third crash.
func DefaultCrashTrackerSettings() CrashTrackerSettings {
	return CrashTrackerSettings{
		CrashThreshold: 3, CrashTTL: time.Minute, MinBlock: time.Minute, MaxBlock: time.Hour, SuccessTTL: 10 * time.Second, MaxFingerprints: 4096,
	}
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
//
// A blocked request may run again when its block ends. One further crash then blocks it again, for twice as long.
type CrashTracker struct {
	settings CrashTrackerSettings
	state    *table.Guarded[crashTracker]
}

type crashTracker struct {
	crashed   *table.TTLMap[uint64, crashRecord] // by fingerprint
	succeeded *table.TTLMap[uint64, bool]
}

// crashRecord is what is known of a request that has crashed upstreams.
type crashRecord struct {
	starts       map[start]bool // starts of upstreams that crashed while the request was not blocked
	block        time.Duration  // duration of the last block; 0 if there was none
	blockedUntil time.Time
}

// start identifies one start of an upstream.
type start struct {
	upstream string
	at       int64 // in ms since the Unix epoch, because times with different locations are not equal
}

// NewCrashTracker returns a tracker without recorded crashes.
func NewCrashTracker(s CrashTrackerSettings) *CrashTracker {
	st := crashTracker{crashed: table.NewTTLMap[uint64, crashRecord](s.MaxFingerprints), succeeded: table.NewTTLMap[uint64, bool](s.MaxFingerprints)}
	return &CrashTracker{settings: s, state: table.NewGuarded(table.RankQuarantine, st)}
}

// RecordCrash records a crash, and reports whether it counts as new. While the request is blocked, no crash does.
func (c *CrashTracker) RecordCrash(now time.Time, crash Crash) bool {
	return table.WithResult(c.state, func(st *crashTracker) bool {
		fp, s := crash.Fingerprint, start{crash.Upstream, crash.StartedAt.UnixMilli()}
		if _, ok := st.succeeded.Get(fp, now); ok {
			return false
		}
		r, ok := st.crashed.Get(fp, now)
		if !ok {
			r.starts = map[start]bool{}
		}
		if r.starts[s] || now.Before(r.blockedUntil) {
			return false
		}
		r.starts[s] = true
		c.block(now, &r)
		st.crashed.Put(fp, r, now.Add(c.retention(r)))
		return true
	})
}

// block blocks the request if it has crashed enough upstreams.
func (c *CrashTracker) block(now time.Time, r *crashRecord) {
	switch {
	case r.block > 0:
		r.block = min(2*r.block, c.settings.MaxBlock)
	case len(r.starts) >= c.settings.CrashThreshold:
		r.block = c.settings.MinBlock
	default:
		return
	}
	r.blockedUntil = now.Add(r.block)
}

// retention returns the time for which a record is kept.
func (c *CrashTracker) retention(r crashRecord) time.Duration {
	if r.block == 0 {
		return c.settings.CrashTTL
	}
	return r.block + c.settings.MaxBlock
}

// RecordSuccess records that an upstream has run the request, and clears the crashes recorded for it.
func (c *CrashTracker) RecordSuccess(now time.Time, fp uint64) {
	c.state.With(func(st *crashTracker) {
		st.crashed.Delete(fp)
		st.succeeded.Put(fp, true, now.Add(c.settings.SuccessTTL))
	})
}

// Blocked reports whether the request must not run, because it has crashed upstreams.
func (c *CrashTracker) Blocked(now time.Time, fp uint64) bool {
	return table.WithResult(c.state, func(st *crashTracker) bool {
		r, ok := st.crashed.Get(fp, now)
		return ok && now.Before(r.blockedUntil)
	})
}

// Crashes returns the recorded crashes of the latest maxRequests requests, in no particular order.
func (c *CrashTracker) Crashes(now time.Time, maxRequests int) []Crash {
	return table.WithResult(c.state, func(st *crashTracker) []Crash {
		var list []Crash
		st.crashed.Each(now, func(fp uint64, r crashRecord) {
			if maxRequests <= 0 {
				return
			}
			maxRequests--
			for s := range r.starts {
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
		st.crashed.Each(now, func(_ uint64, r crashRecord) {
			if now.Before(r.blockedUntil) {
				n++
			}
		})
		return n
	})
}
