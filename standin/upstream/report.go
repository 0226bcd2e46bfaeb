package upstream

import (
	"time"

	"pistachioshore.dev/wire"
)

// recordReport keeps the current state for the health and load endpoints.
func (s *state) recordReport(now time.Time) {
	r := report{status: "ok", load: wire.Load{
		Running: len(s.running), Queued: len(s.queue), Slots: s.settings.Slots, Cold: s.isCold(now),
	}}
	switch {
	case s.faults.Draining:
		r.status = "draining"
	case r.load.Cold:
		r.status = "cold"
	}
	s.reports.Put(now, r)
}

// currentReport returns what the endpoints report now, which faults may delay or falsify.
func (s *state) currentReport(now time.Time) report {
	r := s.reports.At(now.Add(-s.faults.ReportLag))
	if s.faults.ReportedStatus != "" {
		r.status = s.faults.ReportedStatus
	}
	if s.faults.ReportedLoad != nil {
		r.load = *s.faults.ReportedLoad
	}
	return r
}

// copyCounts returns a copy of the counts and their lists.
func (s *state) copyCounts() wire.UpstreamCounts {
	c := s.counts
	c.Upstream, c.Zone, c.Incarnation = s.settings.Name, s.settings.Zone, s.incarnation()
	c.ColdLimit, c.ConnectionLimit = s.settings.ColdLimit, s.settings.MaxConnections
	c.Starts, c.TurnedAway = s.starts.Items(), s.turnedAway.Items()
	c.Effects, c.Crashes = s.effects.Items(), s.crashes.Items()
	c.Dropped = s.starts.Dropped() + s.turnedAway.Dropped() + s.effects.Dropped() + s.crashes.Dropped()
	return c
}
