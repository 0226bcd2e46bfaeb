package audit

import (
	"maps"
	"slices"
	"time"
)

// Limits on poison requests.
const (
	PoisonLimit    = 2                // upstreams that one fingerprint may crash
	QuarantineTime = 60 * time.Second // after it, one more canary request is allowed
)

// CheckColdStartLimits checks that no cold upstream ran more requests at a time than its cold-start limit (P3).
func (a *Audit) ColdLimits() []Violation {
	var out violations
	for _, u := range a.history.Upstreams {
		for _, s := range u.Starts {
			if s.Cold && s.Running > u.ColdLimit {
				out.add(ColdStart, u.Name, "%s started with %d in flight while cold, the limit is %d", s.Request, s.Running, u.ColdLimit)
			}
		}
	}
	return out
}

// CheckConnectionLimits checks that no upstream received more connections than its limit.
func (a *Audit) ConnectionLimits() []Violation {
	var out violations
	for _, u := range a.history.Upstreams {
		if u.ConnectionsOver > 0 || (u.ConnectionLimit > 0 && u.ConnectionsMax > u.ConnectionLimit) {
			out.add(ConnectionsMax, u.Name, "peak of %d connections, %d over the limit of %d", u.ConnectionsMax, u.ConnectionsOver, u.ConnectionLimit)
		}
	}
	return out
}

// CheckPoisonCrashes checks that the requests of each fingerprint crashed at most two upstreams, and one more after each
// quarantine.
func (a *Audit) Poison() []Violation {
	crashes := map[string][]Crash{}
	for _, u := range a.history.Upstreams {
		for _, c := range u.PoisonedRestarts {
			crashes[c.Fingerprint] = append(crashes[c.Fingerprint], c)
		}
	}
	var out violations
	for _, fingerprint := range slices.Sorted(maps.Keys(crashes)) {
		list := crashes[fingerprint]
		slices.SortFunc(list, func(a, b Crash) int { return a.At.Compare(b.At) })
		for i, c := range list {
			allowed := PoisonLimit + int(c.At.Sub(list[0].At)/QuarantineTime)
			if i+1 > allowed {
				out.add(PoisonMax, fingerprint, "crash %d, caused by request %s, exceeds the %d allowed", i+1, c.Request, allowed)
			}
		}
	}
	return out
}
