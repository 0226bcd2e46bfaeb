package codec

import (
	"net/netip"

	"pistachioshore.dev/fleet"
	"pistachioshore.dev/wire"
)

// ToWireHeartbeat converts a heartbeat for a message.
func ToWireHeartbeat(h fleet.Heartbeat) *wire.Heartbeat {
	m := &wire.Heartbeat{
		VM: h.Address, Zone: h.Zone, Incarnation: h.Incarnation, Term: h.Term, Leaving: h.Leaving, Ready: h.Ready,
		Revision: h.Revision, Digest: h.Digest, Heard: []wire.HeardPeer{},
	}
	for _, p := range h.HeardPeers {
		m.Heard = append(m.Heard, wire.HeardPeer{VM: p.Address, Incarnation: p.Incarnation, Term: p.Term, Age: p.Age})
	}
	return m
}

// FromWireHeartbeat converts a heartbeat received from a VM.
func FromWireHeartbeat(from netip.AddrPort, m *wire.Heartbeat) fleet.Heartbeat {
	h := fleet.Heartbeat{
		Address: from, Zone: m.Zone, Incarnation: m.Incarnation, Term: m.Term, Leaving: m.Leaving, Ready: m.Ready,
		Revision: m.Revision, Digest: m.Digest,
	}
	for _, p := range m.Heard {
		h.HeardPeers = append(h.HeardPeers, fleet.HeardPeer{Address: p.VM, Incarnation: p.Incarnation, Term: p.Term, Age: p.Age})
	}
	return h
}
