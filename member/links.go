package member

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"pistachioshore.dev/aggregator"
	"pistachioshore.dev/codec"
	"pistachioshore.dev/table"
	"pistachioshore.dev/wire"
)

// link opens a connection to a VM with which this one keeps in touch.
func (m *Member) link(now time.Time, vm netip.AddrPort) {
	if vm == m.self.Address || !m.roster.ShouldConnect(now, vm) {
		return
	}
	m.seen.With(func(c *contacts) { c.linked[vm] = true })
	m.peers.Connect(vm)
}

// unlink closes the connections to VMs with which this one no longer keeps in touch.
func (m *Member) unlink(now time.Time) {
	for _, vm := range m.links() {
		if m.roster.ShouldConnect(now, vm) {
			continue
		}
		m.seen.With(func(c *contacts) { delete(c.linked, vm) })
		m.peers.Forget(vm)
	}
}

// links returns the VMs that a connection is kept to.
func (m *Member) links() []netip.AddrPort {
	return table.WithResult(m.seen, func(c *contacts) []netip.AddrPort {
		return slices.SortedFunc(maps.Keys(c.linked), netip.AddrPort.Compare)
	})
}

// announce tells changes of the tier: the aggregators, and the VMs that share limits.
func (m *Member) announce(now time.Time) {
	chosen := m.roster.Aggregators(now)
	m.chosen.SetAggregators(chosen)
	shares := aggregator.LimitShares{Members: m.roster.Count(now), Aggregators: len(chosen)}
	shares.IsAggregator = slices.ContainsFunc(chosen, func(vm aggregator.VM) bool { return vm.Address == m.self.Address })
	differs := false
	m.seen.With(func(c *contacts) {
		differs = shares != c.announced
		c.announced = shares
	})
	if differs {
		m.listener.SetLimitShares(shares)
	}
}

// beat returns what this VM tells of itself.
func (m *Member) beat(now time.Time) *wire.Heartbeat {
	cursors := m.state.Cursors()
	var revision uint64
	if len(cursors) > 0 {
		revision = slices.Max(cursors)
	}
	h := codec.ToWireHeartbeat(m.fleet.NextHeartbeat(now, revision, 0, true))
	h.Cursors, h.Fed = cursors, m.state.ReadsPlatform()
	h.Cores = m.self.Cores
	h.ZoneMembers = m.roster.ZoneCount(now)
	if len(m.roster.Aggregators(now)) > 0 {
		h.Heard = []wire.HeardPeer{} // in a large tier VMs need to know the aggregators only
	}
	return h
}

func (m *Member) heartbeat(now time.Time) {
	h := m.beat(now)
	chosen := m.roster.Aggregators(now)
	isChosen := func(vm netip.AddrPort) bool {
		return slices.ContainsFunc(chosen, func(a aggregator.VM) bool { return a.Address == vm })
	}
	links := m.links()
	if !isChosen(m.self.Address) { // the aggregators tell one another of the others
		var aggregators []netip.AddrPort
		for _, vm := range links {
			if isChosen(vm) {
				aggregators = append(aggregators, vm)
			}
		}
		m.peers.SendAll(aggregators, &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: h})
		links = slices.DeleteFunc(links, isChosen)
	}
	full := *h
	full.Aggregators = m.toWire(now, chosen)
	m.peers.SendAll(links, &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: &full})
}

// toWire returns the aggregators with the age of what is known of them.
func (m *Member) toWire(now time.Time, chosen []aggregator.VM) []wire.TierMember {
	list := make([]wire.TierMember, 0, len(chosen))
	for _, vm := range chosen {
		t := wire.TierMember{VM: vm.Address, Zone: vm.Zone, Cores: vm.Cores}
		if vm.Address != m.self.Address {
			t.Age = now.Sub(m.roster.LastSeen(vm.Address))
		}
		list = append(list, t)
	}
	return list
}
