// Package member keeps a VM in touch with the other VMs of its tier: it finds them through seeds,
// counts those that share the limits of upstreams, and passes on what one VM knows and another lacks.
package member

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"pistachioshore.dev/aggregator"
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

// PlatformState is what the VMs pass on to one another: what they know of the platform.
type PlatformState interface {
	// Cursors tell how new each part of the state is; there are none before it is complete.
	Cursors() []uint64
	// ReadsPlatform reports whether the platform answers this VM, so that others can follow it.
	ReadsPlatform() bool
	// NeedsImport reports whether a state with the given cursors would tell this VM something new.
	NeedsImport(cursors []uint64) bool
	// Export returns what has changed since the given cursors, or everything if there are none.
	Export(since []uint64) ([]byte, error)
	// Import takes the state of another VM.
	Import(state []byte) error
	// SetFollowing has the state come from other VMs instead of the platform, or no longer.
	SetFollowing(on bool)
}

// QueryHandler takes the messages about queries that VMs pass on to one another.
type QueryHandler interface {
	// Receive takes a message; it must not block.
	Receive(from netip.AddrPort, e *wire.Envelope)
	// ConnectionLost says that messages sent to the VM may not have arrived.
	ConnectionLost(vm netip.AddrPort)
}

// Listener learns what the member finds out.
type Listener interface {
	// SetLimitShares is told each change of the VMs that share limits.
	SetLimitShares(s aggregator.LimitShares)
	// RecordCrash takes what another VM says of a request under which an upstream crashed, and reports whether it is new.
	RecordCrash(fingerprint uint64, server string) bool
}

// Member is this VM's view of the others; it is safe for concurrent use.
type Member struct {
	fleet    *fleet.Table
	roster   *aggregator.MemberList
	chosen   *aggregator.Table
	self     aggregator.VM
	peers    transport.Peer
	state    PlatformState
	queries  QueryHandler
	listener Listener
	events   event.Recorder
	work     *pool.Pool[func()]
	settings fleet.Settings
	seen     *table.Guarded[contacts]
}

// contacts are what the member has asked and told.
type contacts struct {
	linked    map[netip.AddrPort]bool
	asked     time.Time // when a state was last asked for
	source    time.Time // last heartbeat of an aggregator that the platform answers
	home      time.Time // the same of this VM's home
	behind    time.Time // since when others know more; zero if they do not
	announced aggregator.LimitShares
}

var _ socket.Receiver = (*Member)(nil)

// New returns a view that knows no other VM. It keeps the aggregators in chosen up to date.
func New(
	self fleet.Self, cores float64, peers transport.Peer, state PlatformState, queries QueryHandler, chosen *aggregator.Table, listener Listener,
	events event.Recorder, now time.Time,
) *Member {
	s := settings()
	vm := aggregator.VM{Address: self.Address, Zone: self.Zone, Cores: cores}
	m := &Member{
		fleet: fleet.New(self, s, now), roster: aggregator.NewMemberList(vm, now), chosen: chosen, self: vm,
		peers: peers, state: state, queries: queries, listener: listener, events: events, settings: s,
		seen: table.NewGuarded(table.RankShutdown, contacts{linked: map[netip.AddrPort]bool{}}),
	}
	m.work = pool.New(1, func(task func()) { task() })
	return m
}

// SetSeeds replaces the VMs that are tried before any other is known.
func (m *Member) SetSeeds(now time.Time, seeds []netip.AddrPort) {
	listed := make([]fleet.ListedVM, 0, len(seeds))
	for _, s := range seeds {
		listed = append(listed, fleet.ListedVM{Address: s})
	}
	m.fleet.SetListed(now, listed)
}

// Run sends heartbeats until ctx ends.
func (m *Member) Run(ctx context.Context) {
	beat := time.Time{}
	for {
		now := time.Now()
		m.tick(now)
		if now.Sub(beat) >= m.settings.HeartbeatInterval {
			beat = now
			m.heartbeat(now)
		}
		if !pool.Sleep(ctx, m.settings.TickInterval) {
			m.work.Stop()
			return
		}
	}
}

// Leave tells the others that this VM is about to stop.
func (m *Member) Leave(now time.Time) {
	m.fleet.Leave(now)
	m.roster.Leave()
	m.heartbeat(now)
}

// MemberCount returns the number of VMs that share the limits of upstreams, this one included.
func (m *Member) MemberCount(now time.Time) int {
	return m.roster.Count(now)
}

// tick moves the view on and connects to VMs that are due.
func (m *Member) tick(now time.Time) {
	c := m.fleet.Tick(now)
	if c.Paused {
		m.events.Record(event.ProcessPaused)
	}
	for _, vm := range c.ConnectTo {
		m.link(now, vm)
	}
	for _, vm := range c.DeadVMs {
		if m.roster.ShouldConnect(now, vm) {
			m.events.Record(event.PeerLost, event.F(event.Peer, vm))
		}
	}
	m.unlink(now)
	m.announce(now)
	m.follow(now)
}

// Receive takes a message of another VM.
func (m *Member) Receive(from netip.AddrPort, e *wire.Envelope) {
	switch e.Kind {
	case codec.KindQueryForward, codec.KindQueryAccept, codec.KindQueryConfirm, codec.KindQueryResult, codec.KindQueryCancel:
		m.queries.Receive(from, e)
	default:
		m.work.Submit(func() { m.handle(time.Now(), from, e) })
	}
}

func (m *Member) handle(now time.Time, from netip.AddrPort, e *wire.Envelope) {
	switch {
	case e.Heartbeat != nil:
		m.hear(now, from, e.Heartbeat)
	case e.ConfigRequest != nil:
		m.export(from, e.ConfigRequest.Cursors)
	case e.CanaryReport != nil:
		m.hearCrash(now, from, e.CanaryReport)
	case e.ConfigValue != nil:
		if err := m.state.Import(e.ConfigValue.Value); err != nil {
			m.events.Record(event.Problem, event.F(event.Reason, "state of another VM"), event.F(event.Peer, from), event.F(event.Error, err))
		}
	}
}

func (m *Member) hear(now time.Time, from netip.AddrPort, h *wire.Heartbeat) {
	m.fleet.ReceiveHeartbeat(now, codec.FromWireHeartbeat(from, h))
	vm := aggregator.VM{Address: from, Zone: h.Zone, Cores: h.Cores}
	found := m.roster.RecordHeartbeat(now, aggregator.Heartbeat{VM: vm, ZoneMembers: h.ZoneMembers, Leaving: h.Leaving})
	for _, a := range h.Aggregators {
		m.roster.RecordIndirectHeartbeat(aggregator.VM{Address: a.VM, Zone: a.Zone, Cores: a.Cores}, now.Add(-max(a.Age, 0)))
		m.link(now, a.VM)
	}
	m.link(now, from)
	if found {
		m.events.Record(event.PeerFound, event.F(event.Peer, from), event.F(event.Zone, h.Zone))
	}
	if found || h.Leaving {
		m.announce(now)
	}
	home, ok := m.roster.PrimaryAggregator(now, m.self)
	if h.Fed && slices.ContainsFunc(m.roster.Aggregators(now), func(a aggregator.VM) bool { return a.Address == from }) {
		m.seen.With(func(c *contacts) {
			c.source = now
			if ok && from == home {
				c.home = now
			}
		})
	}
	m.ask(now, from, ok && from != home, h.Cursors)
}

// hearCrash takes a crash that another VM saw. In a large tier it reached this VM alone, which passes it on.
func (m *Member) hearCrash(now time.Time, from netip.AddrPort, r *wire.CanaryReport) {
	if m.listener.RecordCrash(r.Fingerprint, r.Upstream) && len(m.roster.Aggregators(now)) > 0 {
		m.tellCrash(now, r.Fingerprint, r.Upstream, from)
	}
}

// BroadcastCrash tells the other VMs that an upstream crashed while it ran a request.
func (m *Member) BroadcastCrash(now time.Time, fingerprint uint64, server string) {
	m.tellCrash(now, fingerprint, server, m.self.Address)
}

func (m *Member) tellCrash(now time.Time, fingerprint uint64, server string, from netip.AddrPort) {
	r := &wire.CanaryReport{Fingerprint: fingerprint, Upstream: server, Outcome: quarantine.Crashed.String(), Until: now}
	for _, vm := range m.links() {
		if vm != from {
			m.peers.Send(vm, &wire.Envelope{Kind: codec.KindCanaryReport, CanaryReport: r})
		}
	}
}

// Undelivered drops messages that never left: the next heartbeat replaces them, and a query that was passed
// on is told of by Lost.
func (m *Member) Undelivered(netip.AddrPort, []*wire.Envelope) {}

// Disconnected passes on that queries sent to the VM may be lost; the link opens its next connection by itself.
func (m *Member) Disconnected(vm netip.AddrPort) {
	m.queries.ConnectionLost(vm)
}

// Refused notes that a VM does not accept connections.
func (m *Member) Refused(vm netip.AddrPort) {
	m.work.Submit(func() { m.fleet.RecordRefusedConnection(time.Now(), vm) })
}
