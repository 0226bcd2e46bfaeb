// Package member keeps a VM in touch with the other VMs of its tier: it finds them through seeds,
// counts those that share the limits of upstreams, and passes on what one VM knows and another lacks.
package member

import (
	"context"
	"net/netip"
	"time"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/event"
	"pistachioshore.dev/fleet"
	"pistachioshore.dev/pool"
	"pistachioshore.dev/quarantine"
	"pistachioshore.dev/table"
	"pistachioshore.dev/transport"
	"pistachioshore.dev/transport/socket"
	"pistachioshore.dev/wire"
)

// State is what the VMs pass on to one another.
type State interface {
	// Revision returns how new the state is; 0 if there is none.
	Revision() uint64
	// Export returns the state as it is sent to another VM.
	Export() ([]byte, error)
	// Wanted reports whether a state of the given revision would tell this VM something new.
	Wanted(revision uint64) bool
	// Import takes the state of another VM.
	Import(state []byte) error
}

// Member is this VM's view of the others; it is safe for concurrent use.
type Member struct {
	self     fleet.Self
	fleet    *fleet.Table
	peers    transport.Peer
	state    State
	events   event.Recorder
	changed  func(members int)
	crashed  func(fingerprint uint64, server string)
	work     *pool.Pool[func()]
	settings fleet.Settings
	seen     *table.Guarded[sightings]
}

// sightings are the VMs that were heard lately.
type sightings struct {
	last      map[netip.AddrPort]time.Time
	started   time.Time
	asked     time.Time // when a state was last asked for
	announced int       // members last told to changed
	leaving   bool
}

var _ socket.Receiver = (*Member)(nil)

// New returns a view that knows no other VM. Changed is told the number of VMs whenever it differs, and
// crashed what other VMs say of requests under which upstreams crashed.
func New(
	self fleet.Self, peers transport.Peer, state State, events event.Recorder, now time.Time,
	changed func(members int), crashed func(fingerprint uint64, server string),
) *Member {
	s := settings()
	m := &Member{
		self: self, fleet: fleet.New(self, s, now), peers: peers, state: state, events: events, changed: changed, crashed: crashed, settings: s,
		seen: table.NewGuarded(table.RankPending, sightings{last: map[netip.AddrPort]time.Time{}, started: now}),
	}
	m.work = pool.New(1, func(task func()) { task() })
	return m
}

// Seeds replaces the VMs that are tried before any other is known.
func (m *Member) Seeds(now time.Time, seeds []netip.AddrPort) {
	listed := make([]fleet.Listed, 0, len(seeds))
	for _, s := range seeds {
		listed = append(listed, fleet.Listed{Address: s})
	}
	m.fleet.List(now, listed)
}

// Run sends heartbeats until ctx ends.
func (m *Member) Run(ctx context.Context) {
	beat := time.Time{}
	for {
		now := time.Now()
		m.tick(now)
		if now.Sub(beat) >= m.settings.Heartbeat {
			beat = now
			m.heartbeat(now)
		}
		if !pool.Wait(ctx, m.settings.Tick) {
			m.work.Stop()
			return
		}
	}
}

// Leave tells the others that this VM is about to stop.
func (m *Member) Leave(now time.Time) {
	m.fleet.Leave(now)
	m.heartbeat(now)
}

// Count returns the number of VMs that share the limits of upstreams, this one included.
func (m *Member) Count(now time.Time) int {
	return table.Read(m.seen, func(s *sightings) int { return s.count(now) })
}

// count takes VMs that fell silent for present for a while: they may go on sending behind a partition.
func (s *sightings) count(now time.Time) int {
	n := 1
	for _, at := range s.last {
		if now.Sub(at) < remembered {
			n++
		}
	}
	if now.Sub(s.started) < settled {
		return max(n, assumedMembers)
	}
	return n
}

// tick moves the view on and connects to VMs that are due.
func (m *Member) tick(now time.Time) {
	c := m.fleet.Tick(now)
	if c.Paused {
		m.events.Record(event.Paused)
	}
	for _, vm := range c.Connect {
		m.peers.Connect(vm)
	}
	for _, vm := range c.Died {
		m.events.Record(event.PeerLost, event.F(event.Peer, vm))
	}
	m.announce(now)
}

// announce tells a changed number of VMs.
func (m *Member) announce(now time.Time) {
	var n int
	var differs bool
	m.seen.With(func(s *sightings) {
		n = s.count(now)
		differs = n != s.announced
		s.announced = n
	})
	if differs {
		m.changed(n)
	}
}

func (m *Member) heartbeat(now time.Time) {
	h := m.fleet.Heartbeat(now, m.state.Revision(), 0, true)
	for _, p := range m.fleet.Peers(now) {
		m.peers.Send(p.Address, &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: codec.ToWireHeartbeat(h)})
	}
}

// Receive takes a message of another VM.
func (m *Member) Receive(from netip.AddrPort, e *wire.Envelope) {
	m.work.Submit(func() { m.handle(time.Now(), from, e) })
}

func (m *Member) handle(now time.Time, from netip.AddrPort, e *wire.Envelope) {
	switch {
	case e.Heartbeat != nil:
		m.hear(now, from, e.Heartbeat)
	case e.ConfigRequest != nil:
		m.export(from)
	case e.CanaryReport != nil:
		m.crashed(e.CanaryReport.Fingerprint, e.CanaryReport.Upstream)
	case e.ConfigValue != nil:
		if err := m.state.Import(e.ConfigValue.Value); err != nil {
			m.events.Record(event.Problem, event.F(event.Reason, "state of another VM"), event.F(event.Peer, from), event.F(event.Error, err))
		}
	}
}

func (m *Member) hear(now time.Time, from netip.AddrPort, h *wire.Heartbeat) {
	m.fleet.Hear(now, codec.FromWireHeartbeat(from, h))
	m.peers.Connect(from)
	var found, ask bool
	wanted := m.state.Wanted(h.Revision)
	m.seen.With(func(s *sightings) {
		_, known := s.last[from]
		found = !known
		s.last[from] = now
		ask = wanted && now.Sub(s.asked) >= askEvery
		if ask {
			s.asked = now
		}
	})
	if found {
		m.events.Record(event.PeerFound, event.F(event.Peer, from), event.F(event.Zone, h.Zone))
		m.announce(now)
	}
	if ask {
		m.peers.Send(from, &wire.Envelope{Kind: codec.KindConfigRequest, ConfigRequest: &wire.ConfigRequest{Revision: m.state.Revision()}})
	}
}

// TellCrash tells the other VMs that an upstream crashed while it ran a request.
func (m *Member) TellCrash(now time.Time, fingerprint uint64, server string) {
	r := &wire.CanaryReport{Fingerprint: fingerprint, Upstream: server, Outcome: quarantine.Crashed.String(), Until: now}
	for _, p := range m.fleet.Peers(now) {
		m.peers.Send(p.Address, &wire.Envelope{Kind: codec.KindCanaryReport, CanaryReport: r})
	}
}

func (m *Member) export(to netip.AddrPort) {
	state, err := m.state.Export()
	if err != nil {
		m.events.Record(event.Problem, event.F(event.Reason, "state for another VM"), event.F(event.Peer, to), event.F(event.Error, err))
		return
	}
	m.peers.Send(to, &wire.Envelope{Kind: codec.KindConfigValue, ConfigValue: &wire.ConfigValue{Value: state}})
}

// Undelivered drops messages that never left: the next heartbeat replaces them.
func (m *Member) Undelivered(netip.AddrPort, []*wire.Envelope) {}

// Disconnected does nothing: a link opens its next connection by itself.
func (m *Member) Disconnected(netip.AddrPort) {}

// Refused notes that a VM does not accept connections.
func (m *Member) Refused(vm netip.AddrPort) {
	m.work.Submit(func() { m.fleet.Refused(time.Now(), vm) })
}
