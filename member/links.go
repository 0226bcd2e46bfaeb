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
	m.aggregators.SetAggregators(m.members.AggregatorLinks(now))
	shares := m.members.LimitShares(now)
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
	// In this order the proof is not younger than stated, and does not cover more than the cursors.
	sentAt := m.state.BootClock()
	age, isProven := m.state.ProofAge()
	cursors, eras := toWireCursors(m.state.Cursors())
	var revision uint64
	if len(cursors) > 0 {
		revision = slices.Max(cursors)
	}
	h := codec.ToWireHeartbeat(m.fleet.NextHeartbeat(now, revision, 0, true))
	h.Cursors, h.Eras, h.Fed, h.StateAge, h.SentAt = cursors, eras, isProven, age, sentAt
	h.Cores = m.self.Cores
	h.UnreachableZones = m.listener.SilentZones(now)
	h.ZoneMembers = m.members.ZoneCount(now)
	if len(m.members.Aggregators(now)) > 0 {
		h.Heard = []wire.HeardPeer{} // in a large tier VMs need to know only the aggregators
	}
	return h
}

// sendHeartbeats sends a heartbeat to the connected VMs. VMs in other zones get every second one. The list of aggregators
// goes to the VMs that have this aggregator as their primary one, to those that have just joined and to the other
// aggregators.
func (m *Member) sendHeartbeats(now time.Time) {
	h := m.newHeartbeat(now)
	toRemote := h.Leaving || m.isRemoteHeartbeat()
	aggregators := m.members.Aggregators(now)
	var plain, withList []netip.AddrPort
	for _, vm := range m.connectedVMs() {
		switch {
		case !toRemote && m.isRemote(vm):
		case m.needsAggregators(now, aggregators, vm):
			withList = append(withList, vm)
		default:
			plain = append(plain, vm)
		}
	}
	m.peers.SendAll(plain, &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: h})
	if len(withList) > 0 {
		full := *h
		full.Aggregators = m.toTierMembers(now, aggregators)
		m.peers.SendAll(withList, &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: &full})
	}
}

// isRemoteHeartbeat counts a heartbeat and reports whether VMs in other zones get it.
func (m *Member) isRemoteHeartbeat() bool {
	return table.WithResult(m.peerState, func(s *peerState) bool {
		s.heartbeats++
		return (s.heartbeats-1)%remoteHeartbeatRatio == 0
	})
}

// isRemote reports whether a VM is known to be in another zone.
func (m *Member) isRemote(vm netip.AddrPort) bool {
	zone, ok := m.members.Zone(vm)
	return ok && zone != m.self.Zone
}

// needsAggregators reports whether a VM gets the list of aggregators from this one.
func (m *Member) needsAggregators(now time.Time, aggregators []aggregator.VM, vm netip.AddrPort) bool {
	if len(aggregators) == 0 {
		return false
	}
	isAggregator := aggregator.Contains(aggregators, vm)
	if !aggregator.Contains(aggregators, m.self.Address) {
		return !isAggregator
	}
	zone, ok := m.members.Zone(vm)
	if !ok || isAggregator || m.members.IsIntroduced(now, vm) {
		return true
	}
	primary, _ := m.members.PrimaryAggregator(now, aggregator.VM{Address: vm, Zone: zone})
	return primary == m.self.Address
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

// correctAggregators sends the list of aggregators to a VM that takes itself for one without being one. While the aggregators
// of its zone restart, a VM may select itself, and has no connection to them then when they return: nobody else tells it.
func (m *Member) correctAggregators(now time.Time, from netip.AddrPort, h *wire.Heartbeat) {
	aggregators := m.members.Aggregators(now)
	claims := slices.ContainsFunc(h.Aggregators, func(a wire.TierMember) bool { return a.VM == from })
	if !claims || aggregator.Contains(aggregators, from) || !aggregator.Contains(aggregators, m.self.Address) {
		return
	}
	list := m.newHeartbeat(now)
	list.Aggregators = m.toTierMembers(now, aggregators)
	m.peers.Send(from, &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: list})
}
