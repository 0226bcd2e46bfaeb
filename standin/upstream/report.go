package upstream

import (
	"time"

	"pistachioshore.dev/wire"
)

// report remembers the figures of the health and load endpoints.
func (s *state) report(now time.Time) {
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

// reported returns what the endpoints say now, which may be late or untrue.
func (s *state) reported(now time.Time) report {
	r := s.reports.At(now.Add(-s.faults.ReportLag))
	if s.faults.ReportedStatus != "" {
		r.status = s.faults.ReportedStatus
	}
	if s.faults.ReportedLoad != nil {
		r.load = *s.faults.ReportedLoad
	}
	return r
}

// snapshotCounts returns a copy of everything counted so far.
func (s *state) snapshotCounts() wire.UpstreamCounts {
	c := s.counts
	c.Upstream, c.Zone, c.Incarnation = s.settings.Name, s.settings.Zone, s.incarnation()
	c.ColdLimit, c.ConnectionLimit = s.settings.ColdLimit, s.settings.MaxConnections
	c.Starts, c.TurnedAway = s.starts.Items(), s.turnedAway.Items()
	c.Effects, c.Crashes = s.effects.Items(), s.crashes.Items()
	c.Dropped = s.starts.Dropped() + s.turnedAway.Dropped() + s.effects.Dropped() + s.crashes.Dropped()
	return c
}
