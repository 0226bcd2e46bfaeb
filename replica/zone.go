package replica

import (
	"slices"
	"time"

	"pistachioshore.dev/table"
)

const (
	// zoneSilenceLimit is the time without an answer from any replica of a zone, with attempts pending there,
	// after which the zone counts as unreachable. It is longer than the pause of a single replica.
	zoneSilenceLimit = 400 * time.Millisecond

	// minUnansweredAttempts is the number of unanswered attempts below which a zone counts as reachable.
	minUnansweredAttempts = 5

	// zoneProbeInterval is the time between attempts that test whether an unreachable zone has recovered.
	zoneProbeInterval = 300 * time.Millisecond

	// unreachableZoneCost is the cost of a replica in an unreachable zone, in median latencies.
	unreachableZoneCost = 100.0
)

// zoneHealth tracks whether the replicas of a zone answer.
type zoneHealth struct {
	silentSince time.Time // first attempt since the last answer from the zone; zero if there is none
	unanswered  int       // attempts since the last answer
	probedAt    time.Time
}

// recordAttempt records an attempt at a replica of the zone.
func (z *zoneHealth) recordAttempt(now time.Time) {
	if z.silentSince.IsZero() {
		z.silentSince = now
	}
	z.unanswered++
}

// recordAnswer records an answer from a replica of the zone.
func (z *zoneHealth) recordAnswer() {
	z.silentSince = time.Time{}
	z.unanswered = 0
}

func (z *zoneHealth) unreachable(now time.Time) bool {
	return z.unanswered >= minUnansweredAttempts && now.Sub(z.silentSince) >= zoneSilenceLimit
}

// zone returns the health of a zone, which it creates if necessary.
func (st *state) zone(name string) *zoneHealth {
	z, ok := st.zones[name]
	if !ok {
		z = &zoneHealth{}
		st.zones[name] = z
	}
	return z
}

// unreachable reports whether the zone is unreachable for this VM, or for the VM that fans out its queries. The VM's own
// zone never is.
func (st *state) unreachable(now time.Time, zone string) bool {
	return zone != st.settings.Zone && (st.zone(zone).unreachable(now) || slices.Contains(st.reportedZones, zone))
}

// silentZones returns the zones that are unreachable for this VM itself.
func (st *state) silentZones(now time.Time) []string {
	var zones []string
	for name, z := range st.zones {
		if name != st.settings.Zone && z.unreachable(now) {
			zones = append(zones, name)
		}
	}
	return zones
}

// unreachableZones returns the zones that are unreachable.
func (st *state) unreachableZones(now time.Time) []string {
	zones := st.silentZones(now)
	for _, name := range st.reportedZones {
		if name != st.settings.Zone && !slices.Contains(zones, name) {
			zones = append(zones, name)
		}
	}
	return zones
}

// dueProbe returns a candidate in an unreachable zone whose next probe is due.
func (st *state) dueProbe(now time.Time, candidates []string) (string, bool) {
	for _, id := range candidates {
		r, ok := st.replicas[id]
		if !ok || !st.unreachable(now, r.server.Zone) {
			continue
		}
		if z := st.zone(r.server.Zone); now.Sub(z.probedAt) >= zoneProbeInterval {
			z.probedAt = now
			return id, true
		}
	}
	return "", false
}

// UnreachableZones returns the zones of which no replica answers this VM, or the VM that fans out its queries.
func (t *Table) UnreachableZones(now time.Time) []string {
	return table.WithResult(t.state, func(st *state) []string { return st.unreachableZones(now) })
}

// SilentZones returns the zones of which no replica answers this VM itself.
func (t *Table) SilentZones(now time.Time) []string {
	return table.WithResult(t.state, func(st *state) []string { return st.silentZones(now) })
}

// SetReportedZones sets the zones of which no replica answers the VM that fans out this VM's queries.
func (t *Table) SetReportedZones(zones []string) {
	t.state.With(func(st *state) { st.reportedZones = zones })
}

// ProbeTarget returns a replica of the zone to send a health check to. It does not start an attempt, so EndAttempt must
// not be called.
func (t *Table) ProbeTarget(now time.Time, zone string) (AttemptHandle, bool) {
	return table.WithResults(t.state, func(st *state) (AttemptHandle, bool) {
		for _, r := range st.replicas {
			if r.server.Zone == zone && st.eligible(now, r, nil) {
				return AttemptHandle{Server: r.server, replica: r}, true
			}
		}
		return AttemptHandle{}, false
	})
}

// MarkZoneReachable records that the zone can be reached.
func (t *Table) MarkZoneReachable(zone string) {
	t.state.With(func(st *state) { st.zone(zone).recordAnswer() })
}
