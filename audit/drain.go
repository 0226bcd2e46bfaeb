package audit

import (
	"time"

	"pistachioshore.dev/result"
)

// CheckDrains checks that a drained zone (P4) and a draining upstream (P8) received no new work more than 3 s after the
// publication. Requests that an upstream refused on arrival count too.
func (c *Checker) CheckDrains() []Violation {
	var out violations
	for _, d := range c.history.Drains {
		for _, u := range c.history.Upstreams {
			if !d.appliesTo(u) {
				continue
			}
			for _, s := range u.Starts {
				d.checkTime(&out, u, s.RequestID, "started", s.At)
			}
			for _, r := range u.RefusedArrivals {
				d.checkTime(&out, u, r.RequestID, "received", r.At)
			}
		}
	}
	return out
}

func (d Drain) appliesTo(u UpstreamCounts) bool {
	if d.Property == ZoneDrain {
		return u.Zone == d.Zone
	}
	return u.Name == d.Upstream
}

// checkTime adds a violation if a request was started or received more than PropagationTime after the drain began.
func (d Drain) checkTime(out *violations, u UpstreamCounts, requestID, verb string, at time.Time) {
	delay := at.Sub(d.From)
	if delay > PropagationTime && (d.To.IsZero() || at.Before(d.To)) {
		out.add(d.Property, u.Name, "%s was %s %v after the publication", requestID, verb, delay)
	}
}

// CheckShutdowns checks that no request that a VM accepted around its planned shutdown failed (P9).
func (c *Checker) CheckShutdowns() []Violation {
	var out violations
	for _, s := range c.history.PlannedShutdowns {
		for _, q := range c.history.Queries {
			s.checkCall(&out, q.Call)
		}
		for _, o := range c.history.Orders {
			s.checkCall(&out, o.Call)
		}
	}
	return out
}

func (s PlannedShutdown) checkCall(out *violations, c Call) {
	overlaps := c.VM == s.VM && c.ReturnedAt.After(s.From) && c.SentAt.Before(s.To)
	if overlaps && (c.connectionLost() || c.Code == result.Internal) {
		out.add(GracefulShutdown, s.VM.String(), "a request of %s failed during the planned shutdown", c.Caller)
	}
}
