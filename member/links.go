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

// connect opens a connection to vm if this VM should be connected to it.
func (m *Member) connect(now time.Time, vm netip.AddrPort) {
	if vm == m.self.Address || !m.members.ShouldConnect(now, vm) {
		return
	}
	m.peerState.With(func(s *peerState) { s.connected[vm] = true })
	m.peers.Connect(vm)
}

// disconnectUnneeded closes the connections to VMs to which this one no longer needs to be connected.
func (m *Member) disconnectUnneeded(now time.Time) {
	for _, vm := range m.connectedVMs() {
		if m.members.ShouldConnect(now, vm) {
			continue
		}
		m.peerState.With(func(s *peerState) { delete(s.connected, vm) })
		m.peers.Disconnect(vm)
	}
}

// connectedVMs returns the VMs to which this one keeps a connection, in order of address.
func (m *Member) connectedVMs() []netip.AddrPort {
	return table.WithResult(m.peerState, func(s *peerState) []netip.AddrPort {
		return slices.SortedFunc(maps.Keys(s.connected), netip.AddrPort.Compare)
	})
}

// publishTier updates the table of aggregators, and tells the listener if the division of the limits has changed.
func (m *Member) publishTier(now time.Time) {
	aggregators := m.members.Aggregators(now)
	m.aggregators.SetAggregators(m.members.AggregatorLinks(now))
	shares := aggregator.LimitShares{Members: m.members.Count(now), Aggregators: len(aggregators)}
	shares.IsAggregator = slices.ContainsFunc(aggregators, func(vm aggregator.VM) bool { return vm.Address == m.self.Address })
	changed := false
	m.peerState.With(func(s *peerState) {
		changed = shares != s.shares
		s.shares = shares
	})
	if changed {
		m.listener.SetLimitShares(shares)
	}
}

// newHeartbeat returns the heartbeat of this VM.
func (m *Member) newHeartbeat(now time.Time) *wire.Heartbeat {
	cursors := m.state.Cursors()
	var revision uint64
	if len(cursors) > 0 {
		revision = slices.Max(cursors)
	}
	h := codec.ToWireHeartbeat(m.fleet.NextHeartbeat(now, revision, 0, true))
	h.Cursors, h.Fed = cursors, m.state.ReadsPlatform()
	h.Cores = m.self.Cores
	h.ZoneMembers = m.members.ZoneCount(now)
	if len(m.members.Aggregators(now)) > 0 {
		h.Heard = []wire.HeardPeer{} // in a large tier VMs need to know only the aggregators
	}
	return h
}

// sendHeartbeats sends a heartbeat to all connected VMs.
func (m *Member) sendHeartbeats(now time.Time) {
	h := m.newHeartbeat(now)
	aggregators := m.members.Aggregators(now)
	isAggregator := func(vm netip.AddrPort) bool {
		return slices.ContainsFunc(aggregators, func(a aggregator.VM) bool { return a.Address == vm })
	}
	connected := m.connectedVMs()
	if !isAggregator(m.self.Address) { // aggregators learn about the others from one another
		var connectedAggregators []netip.AddrPort
		for _, vm := range connected {
			if isAggregator(vm) {
				connectedAggregators = append(connectedAggregators, vm)
			}
		}
		m.peers.SendAll(connectedAggregators, &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: h})
		connected = slices.DeleteFunc(connected, isAggregator)
	}
	full := *h
	full.Aggregators = m.toTierMembers(now, aggregators)
	m.peers.SendAll(connected, &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: &full})
}

// toTierMembers returns the wire form of the aggregators, with the time since each was last seen.
func (m *Member) toTierMembers(now time.Time, aggregators []aggregator.VM) []wire.TierMember {
	list := make([]wire.TierMember, 0, len(aggregators))
	for _, vm := range aggregators {
		t := wire.TierMember{VM: vm.Address, Zone: vm.Zone, Cores: vm.Cores}
		if vm.Address != m.self.Address {
			t.Age = now.Sub(m.members.LastSeen(vm.Address))
		}
		list = append(list, t)
	}
	return list
}
