package replica

import (
	"time"

	"pistachioshore.dev/table"
)

const (
	// zoneSilenceLimit is the time without an answer from any replica of a zone, with attempts pending there,
	// after which the zone counts as unreachable. It is longer than the pause of a single replica.
	cutAfter = 400 * time.Millisecond

	// minUnansweredAttempts is the number of unanswered attempts below which a zone counts as reachable.
	cutStarts = 5

	// zoneProbeInterval is the time between attempts that test whether an unreachable zone has recovered.
	probeEvery = 300 * time.Millisecond

	// unreachableZoneCost is the cost of a replica in an unreachable zone, in median latencies.
	cutCost = 100.0
)

// zoneHealth tracks whether the replicas of a zone answer.
type contact struct {
	silentSince time.Time // first attempt since the last answer from the zone; zero if there is none
	starts      int       // attempts since the last answer
	probed      time.Time
}

// recordAttempt records an attempt at a replica of the zone.
func (c *contact) started(now time.Time) {
	if c.silentSince.IsZero() {
		c.silentSince = now
	}
	c.starts++
}

// recordAnswer records an answer from a replica of the zone.
func (c *contact) heard() {
	c.silentSince = time.Time{}
	c.starts = 0
}

func (c *contact) cut(now time.Time) bool {
	return c.starts >= cutStarts && now.Sub(c.silentSince) >= cutAfter
}

// zone returns the health of a zone, which it creates if necessary.
func (st *state) zone(name string) *contact {
	c, ok := st.zones[name]
	if !ok {
		c = &contact{}
		st.zones[name] = c
	}
	return c
}

// unreachable reports whether the zone is unreachable. The VM's own zone never is.
func (st *state) cut(now time.Time, zone string) bool {
	return zone != st.settings.Zone && st.zone(zone).cut(now)
}

// unreachableZones returns the zones that are unreachable.
func (st *state) cutZones(now time.Time) []string {
	var cut []string
	for name := range st.zones {
		if st.cut(now, name) {
			cut = append(cut, name)
		}
	}
	return cut
}

// dueProbe returns a candidate in an unreachable zone whose next probe is due.
func (st *state) probe(now time.Time, candidates []string) (string, bool) {
	for _, id := range candidates {
		r, ok := st.replicas[id]
		if !ok || !st.cut(now, r.server.Zone) {
			continue
		}
		if c := st.zone(r.server.Zone); now.Sub(c.probed) >= probeEvery {
			c.probed = now
			return id, true
		}
	}
	return "", false
}

// UnreachableZones returns the zones of which no replica answers.
func (t *Table) UnreachableZones(now time.Time) []string {
	return table.WithResult(t.state, func(st *state) []string { return st.cutZones(now) })
}

// ProbeTarget returns a replica of the zone to send a health check to.
func (t *Table) ProbeTarget(now time.Time, zone string) (AttemptHandle, bool) {
	return table.WithResults(t.state, func(st *state) (AttemptHandle, bool) {
		for _, r := range st.replicas {
			if r.server.Zone == zone && st.open(now, r, nil) {
				return AttemptHandle{Server: r.server}, true
			}
		}
		return AttemptHandle{}, false
	})
}

// MarkZoneReachable records that the zone can be reached.
func (t *Table) MarkZoneReachable(zone string) {
	t.state.With(func(st *state) { st.zone(zone).heard() })
}
