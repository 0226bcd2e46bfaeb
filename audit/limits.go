package audit

import (
	"maps"
	"slices"
	"time"
)

// Limits on poison requests.
const (
	MaxPoisonCrashes   = 2                // upstreams that one fingerprint may crash
	QuarantineDuration = 60 * time.Second // after it, one more canary request is allowed
)

// CheckColdStartLimits checks that no cold upstream ran more requests at a time than its cold-start limit (P3).
func (c *Checker) CheckColdStartLimits() []Violation {
	var out violations
	for _, u := range c.history.Upstreams {
		for _, s := range u.Starts {
			if s.Cold && s.InFlight > u.ColdLimit {
				out.add(ColdStartLimit, u.Name, "%s started with %d in flight while cold, the limit is %d",
					s.RequestID, s.InFlight, u.ColdLimit)
			}
		}
	}
	return out
}

// CheckConnectionLimits checks that no upstream received more connections than its limit.
func (c *Checker) CheckConnectionLimits() []Violation {
	var out violations
	for _, u := range c.history.Upstreams {
		if u.ConnectionsOverLimit > 0 || (u.ConnectionLimit > 0 && u.PeakConnections > u.ConnectionLimit) {
			out.add(ConnectionLimit, u.Name, "peak of %d connections, %d over the limit of %d",
				u.PeakConnections, u.ConnectionsOverLimit, u.ConnectionLimit)
		}
	}
	return out
}

// CheckPoisonCrashes checks that the requests of each fingerprint crashed at most two upstreams, and one more after each
// quarantine.
func (c *Checker) CheckPoisonCrashes() []Violation {
	byFingerprint := map[string][]Crash{}
	for _, u := range c.history.Upstreams {
		for _, crash := range u.PoisonCrashes {
			byFingerprint[crash.Fingerprint] = append(byFingerprint[crash.Fingerprint], crash)
		}
	}
	var out violations
	for _, fingerprint := range slices.Sorted(maps.Keys(byFingerprint)) {
		crashes := byFingerprint[fingerprint]
		slices.SortFunc(crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
		for i, crash := range crashes {
			allowed := MaxPoisonCrashes + int(crash.At.Sub(crashes[0].At)/QuarantineDuration)
			if i+1 > allowed {
				out.add(PoisonCrashLimit, fingerprint, "crash %d, caused by request %s, exceeds the %d allowed",
					i+1, crash.RequestID, allowed)
			}
		}
	}
	return out
}
