package audit

import (
	"time"

	"pistachioshore.dev/result"
)

// CheckDrains checks that a drained zone (P4) and a draining upstream (P8) received no new work later than 3 s after the
// publication. Requests that the upstream refused on arrival count too.
func (a *Checker) CheckDrains() []Violation {
	var out violations
	for _, o := range a.history.Drains {
		for _, u := range a.history.Upstreams {
			if !o.concerns(u) {
				continue
			}
			for _, s := range u.Starts {
				o.check(&out, u, s.RequestID, "started", s.At)
			}
			for _, r := range u.RefusedArrivals {
				o.check(&out, u, r.RequestID, "received", r.At)
			}
		}
	}
	return out
}

func (o Drain) concerns(u UpstreamCounts) bool {
	if o.Property == ZoneDrain {
		return u.Zone == o.Zone
	}
	return u.Name == o.Upstream
}

func (o Drain) check(out *violations, u UpstreamCounts, request, what string, at time.Time) {
	late := at.Sub(o.From)
	if late > PropagationTime && (o.To.IsZero() || at.Before(o.To)) {
		out.add(o.Property, u.Name, "%s was %s %v after the publication", request, what, late)
	}
}

// CheckShutdowns checks that no request that a VM accepted around its planned shutdown failed (P9).
func (a *Checker) CheckShutdowns() []Violation {
	var out violations
	for _, s := range a.history.PlannedShutdowns {
		for _, q := range a.history.Queries {
			s.check(&out, q.Call)
		}
		for _, o := range a.history.Orders {
			s.check(&out, o.Call)
		}
	}
	return out
}

func (s PlannedShutdown) check(out *violations, c Call) {
	during := c.VM == s.VM && c.ReturnedAt.After(s.From) && c.SentAt.Before(s.To)
	if during && (c.broken() || c.Code == result.Internal) {
		out.add(GracefulShutdown, s.VM.String(), "a request of %s failed during the planned shutdown", c.Caller)
	}
}
