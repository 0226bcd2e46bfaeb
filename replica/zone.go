package replica

import (
	"time"

	"pistachioshore.dev/table"
)

const (
	// cutAfter is the silence of all replicas of a zone, with requests waiting there, after which the zone
	// is held to be cut off. It is above the pause of a single replica, of which a zone has many.
	cutAfter = 400 * time.Millisecond

	// cutStarts is the number of attempts that must have found that silence.
	cutStarts = 5

	// probeEvery is the time between two attempts that test whether a zone is back.
	probeEvery = 300 * time.Millisecond

	// cutCost is the cost of a replica in a zone that is cut off, in typical times.
	cutCost = 100.0
)

// contact is what is known of the way to a zone.
type contact struct {
	silentSince time.Time // first attempt since the zone was last heard; zero if there is none
	starts      int       // attempts since then
	probed      time.Time
}

// started notes an attempt at a replica of the zone.
func (c *contact) started(now time.Time) {
	if c.silentSince.IsZero() {
		c.silentSince = now
	}
	c.starts++
}

// heard notes an answer from a replica of the zone.
func (c *contact) heard() {
	c.silentSince = time.Time{}
	c.starts = 0
}

func (c *contact) cut(now time.Time) bool {
	return c.starts >= cutStarts && now.Sub(c.silentSince) >= cutAfter
}

// zone returns the contact to a zone.
func (st *state) zone(name string) *contact {
	c, ok := st.zones[name]
	if !ok {
		c = &contact{}
		st.zones[name] = c
	}
	return c
}

// cut reports whether a zone other than the VM's own is cut off.
func (st *state) cut(now time.Time, zone string) bool {
	return zone != st.settings.Zone && st.zone(zone).cut(now)
}

// cutZones returns the zones that are cut off.
func (st *state) cutZones(now time.Time) []string {
	var cut []string
	for name := range st.zones {
		if st.cut(now, name) {
			cut = append(cut, name)
		}
	}
	return cut
}

// probe returns a candidate in a zone that is cut off and due for a test.
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

// UnreachableZones returns the zones whose replicas are all silent.
func (t *Table) UnreachableZones(now time.Time) []string {
	return table.WithResult(t.state, func(st *state) []string { return st.cutZones(now) })
}

// ProbeTarget returns a replica of the zone to which a health check may be sent.
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

// MarkZoneReachable notes that the zone can be reached.
func (t *Table) MarkZoneReachable(zone string) {
	t.state.With(func(st *state) { st.zone(zone).heard() })
}
