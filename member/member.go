// Package member implements a VM's membership in its tier. It discovers the other VMs through seeds, counts the VMs
// that share the limits of upstreams, and distributes the platform state and suspected crashes among them. The seeds are
// the addresses of a few VMs, which the settings of the process list.
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
	"pistachioshore.dev/route"
	"pistachioshore.dev/table"
	"pistachioshore.dev/transport"
	"pistachioshore.dev/transport/socket"
	"pistachioshore.dev/wire"
)

// PlatformState is the state that a VM has read from the platform, which is the configuration and the list of servers.
// VMs exchange it with one another.
type PlatformState interface {
	// Cursors returns the position of the latest change in each part of the state, or nothing until the state is
	// complete.
	Cursors() []Cursor
	// ProofAge returns the time since this VM last read from the platform itself that it knows all changes. It returns false if
	// that is too long ago for others to rely on it, or if the VM does not read the platform.
	ProofAge() (age time.Duration, ok bool)
	// BootClock returns the reading of the VM's boot clock.
	BootClock() time.Duration
	// NeedsImport reports whether this VM needs the state of another VM with the given cursors, which is newer.
	NeedsImport(cursors []Cursor) bool
	// ConfirmCurrent records that a VM that reads the platform knew no changes after the given cursors, nor an era above theirs,
	// at a reading of this VM's boot clock.
	ConfirmCurrent(now time.Time, asOf time.Duration, cursors []Cursor)
	// IsConfirmed reports whether other VMs have lately confirmed that this VM knows all changes.
	IsConfirmed() bool
	// Export encodes the changes since the given cursors, or the whole state if there are none, as pages to be sent in this
	// order, or as a single one that VMs of the earlier version read.
	Export(since []Cursor, pages bool) ([][]byte, error)
	// Import takes a page that another VM has exported, and applies the state with the last one. It reports whether it did.
	Import(page []byte) (complete bool, err error)
	// SetFollowing selects whether the state comes from other VMs instead of the platform.
	SetFollowing(on bool)
	// SetFollowed selects whether this VM proves again and again that it knows all changes, since others follow it.
	SetFollowed(on bool)
}

// QueryHandler handles the messages about queries that VMs forward to one another.
type QueryHandler interface {
	// Receive handles a message. It must not block.
	Receive(from netip.AddrPort, e *wire.Envelope)
	// ConnectionLost is called when messages sent to the VM may not have arrived.
	ConnectionLost(vm netip.AddrPort)
}

// UpstreamView is what this VM has seen of the upstreams and tells other VMs.
type UpstreamView interface {
	// SilentZones returns the zones of which no upstream answers this VM.
	SilentZones(now time.Time) []string
	// SaidDraining returns the upstreams that have said that they drain, for VMs that have just been connected.
	SaidDraining() []route.Server
	// Crashes returns the upstreams that crashed while they ran a request, for VMs that have just been connected.
	Crashes(now time.Time) []quarantine.Crash
}

// Listener is notified of changes in the tier and of what other VMs report about upstreams.
type Listener interface {
	UpstreamView
	// SetLimitShares is called with each change in how the VMs share the limits of upstreams.
	SetLimitShares(s aggregator.LimitShares)
	// RecordCrash records a crash that another VM has reported. It reports whether the crash was not known yet.
	RecordCrash(c quarantine.Crash) bool
	// RecordDraining records that the upstream with the ID server, which started at the given time, has told another VM
	// that it drains. It reports whether this was not known yet.
	RecordDraining(server string, startedAt time.Time) bool
	// SetReportedZones sets the zones of which no upstream answers the primary aggregator of this VM.
	SetReportedZones(zones []string)
}

// Member represents this VM in the tier. It is safe for concurrent use.
type Member struct {
	fleet       *fleet.Table
	members     *aggregator.MemberList
	aggregators *aggregator.Table
	self        aggregator.VM
	peers       transport.PeerMessenger
	state       PlatformState
	queries     QueryHandler
	listener    Listener
	events      event.Recorder
	worker      *pool.Pool[func()]
	settings    fleet.Settings
	peerState   *table.Guarded[peerState]
	incarnation uint64
	teams       *teamExchange // nil if the VM exchanges nothing about teams
}

// peerState is the state of the exchange with other VMs.
type peerState struct {
	connected   map[netip.AddrPort]bool
	heartbeats  uint64    // heartbeats sent
	lastRequest time.Time // last request for the state of another VM
	// asked holds the VMs whose state was requested, with the time from which on each may be asked again.
	asked       map[netip.AddrPort]time.Time
	lastPrimary time.Time                   // last heartbeat of this VM's primary aggregator while that reads the platform
	transits    map[netip.AddrPort]*transit // of the VMs that send heartbeats
	// zonesReportedAt is the time of the last report of unreachable zones; zero if it no longer counts.
	zonesReportedAt time.Time
	behindSince     time.Time              // time since which others have had a newer state; zero if none has
	shares          aggregator.LimitShares // shares last passed to the listener
}

var _ socket.Receiver = (*Member)(nil)

// New returns a member that knows no other VM. It keeps the table of aggregators up to date. cores is the number of CPU
// cores that this VM may use, possibly a fraction; the VMs with the most cores are selected as aggregators.
func New(
	self fleet.Self, cores float64, peers transport.PeerMessenger, state PlatformState, queries QueryHandler, aggregators *aggregator.Table, listener Listener,
	events event.Recorder, now time.Time,
) *Member {
	s := settings()
	vm := aggregator.VM{Address: self.Address, Zone: self.Zone, Cores: cores}
	m := &Member{
		fleet: fleet.New(self, s, now), members: aggregator.NewMemberList(vm, now), aggregators: aggregators, self: vm,
		peers: peers, state: state, queries: queries, listener: listener, events: events, settings: s, incarnation: self.Incarnation,
		peerState: table.NewGuarded(table.RankShutdown, peerState{
			connected: map[netip.AddrPort]bool{}, asked: map[netip.AddrPort]time.Time{}, transits: map[netip.AddrPort]*transit{},
		}),
	}
	m.worker = pool.New(1, func(task func()) { task() })
	m.worker.OnPanic(event.PanicHandler(events, event.F(event.Reason, "message from another VM")))
	return m
}

// SetSeeds replaces the VMs through which this one discovers the tier.
func (m *Member) SetSeeds(now time.Time, seeds []netip.AddrPort) {
	list := make([]fleet.ListedVM, 0, len(seeds))
	for _, s := range seeds {
		list = append(list, fleet.ListedVM{Address: s})
	}
	m.fleet.SetListed(now, list)
}

// Run maintains the membership and sends heartbeats until ctx is cancelled.
func (m *Member) Run(ctx context.Context) {
	lastHeartbeat := time.Time{}
	if m.teams != nil {
		go m.runUsage(ctx)
	}
	for {
		now := time.Now()
		m.tick(now)
		if now.Sub(lastHeartbeat) >= m.settings.HeartbeatInterval {
			lastHeartbeat = now
			m.sendHeartbeats(now)
		}
		if !pool.Sleep(ctx, m.settings.TickInterval) {
			m.worker.Stop()
			return
		}
	}
}

// Leave tells the other VMs that this one is about to stop.
func (m *Member) Leave(now time.Time) {
	m.fleet.Leave(now)
	m.members.Leave()
	m.sendHeartbeats(now)
}

// MemberCount returns the number of VMs that share the limits of upstreams, this one included.
func (m *Member) MemberCount(now time.Time) int {
	return m.members.Count(now)
}

// tick updates the view of the tier and opens or closes connections accordingly.
func (m *Member) tick(now time.Time) {
	c := m.fleet.Tick(now)
	if c.Paused {
		m.events.Record(event.ProcessPaused)
	}
	for _, vm := range c.ConnectTo {
		m.connect(now, vm)
	}
	for _, vm := range c.DeadVMs {
		if m.members.ShouldConnect(now, vm) {
			m.events.Record(event.PeerLost, event.F(event.Peer, vm))
		}
	}
	m.expireReportedZones(now)
	m.expireExchanges(now)
	m.disconnectUnneeded(now)
	m.publishTier(now)
	m.updateFollowing()
	m.tickTeams(now)
}

// Receive handles a message from another VM.
func (m *Member) Receive(from netip.AddrPort, e *wire.Envelope) {
	switch e.Kind {
	case codec.KindQueryForward, codec.KindQueryAccept, codec.KindQueryConfirm, codec.KindQueryResult, codec.KindQueryCancel:
		m.queries.Receive(from, e)
	default:
		m.worker.Submit(func() { m.handle(time.Now(), from, e) })
	}
}

func (m *Member) handle(now time.Time, from netip.AddrPort, e *wire.Envelope) {
	if m.handleTeamMessage(now, from, e) {
		return
	}
	switch {
	case e.Heartbeat != nil:
		m.handleHeartbeat(now, from, e.Heartbeat)
	case e.ConfigRequest != nil:
		m.sendState(from, fromWireCursors(e.ConfigRequest.Cursors, e.ConfigRequest.Eras), e.ConfigRequest.Pages)
	case e.CanaryReport != nil:
		m.handleCrashReport(now, from, e.CanaryReport)
	case e.UpstreamDraining != nil:
		m.handleDraining(now, from, e.UpstreamDraining)
	case e.ConfigValue != nil:
		m.importPage(now, from, e.ConfigValue.Value)
	}
}

func (m *Member) handleHeartbeat(now time.Time, from netip.AddrPort, h *wire.Heartbeat) {
	m.fleet.ReceiveHeartbeat(now, codec.FromWireHeartbeat(from, h))
	vm := aggregator.VM{Address: from, Zone: h.Zone, Cores: h.Cores}
	isNew := m.members.RecordHeartbeat(now, aggregator.Heartbeat{VM: vm, Incarnation: h.Incarnation, ZoneMembers: h.ZoneMembers, Leaving: h.Leaving})
	for _, a := range h.Aggregators {
		m.members.RecordIndirectHeartbeat(aggregator.VM{Address: a.VM, Zone: a.Zone, Cores: a.Cores}, now.Add(-max(a.Age, 0)))
		m.connect(now, a.VM)
	}
	m.connect(now, from)
	if isNew {
		m.events.Record(event.PeerFound, event.F(event.Peer, from), event.F(event.Zone, h.Zone))
	}
	if isNew || h.Leaving {
		m.publishTier(now)
	}
	primary, ok := m.members.PrimaryAggregator(now, m.self)
	isPrimary := ok && from == primary
	if h.Fed && isPrimary {
		m.peerState.With(func(s *peerState) { s.lastPrimary = now })
	}
	cursors := fromWireCursors(h.Cursors, h.Eras)
	m.confirmState(now, from, h, cursors)
	if isPrimary {
		m.handleReportedZones(now, h.UnreachableZones)
	}
	m.requestState(now, from, ok && from != primary, cursors)
	m.correctAggregators(now, from, h)
}

// handleCrashReport records a crash that another VM has reported. In a large tier the reporter may be connected to
// few VMs, so this VM forwards a new report to its own connections.
func (m *Member) handleCrashReport(now time.Time, from netip.AddrPort, r *wire.CanaryReport) {
	c := codec.FromWireCrash(r)
	if m.listener.RecordCrash(c) && len(m.members.Aggregators(now)) > 0 {
		m.sendReport(from, newCrashReport(now, c))
	}
}

// BroadcastCrash reports a crash that this VM has seen to the connected VMs.
func (m *Member) BroadcastCrash(now time.Time, c quarantine.Crash) {
	m.sendReport(m.self.Address, newCrashReport(now, c))
}

func newCrashReport(now time.Time, c quarantine.Crash) *wire.Envelope {
	return &wire.Envelope{Kind: codec.KindCanaryReport, CanaryReport: codec.ToWireCrash(now, c)}
}

// handleDraining records a draining upstream that another VM has reported, and forwards a new report in a large tier as
// handleCrashReport does.
func (m *Member) handleDraining(now time.Time, from netip.AddrPort, r *wire.UpstreamDraining) {
	if m.listener.RecordDraining(r.Upstream, r.StartedAt) && len(m.members.Aggregators(now)) > 0 {
		m.sendReport(from, &wire.Envelope{Kind: codec.KindDraining, UpstreamDraining: r})
	}
}

// BroadcastDraining reports to the connected VMs that the upstream with the ID server has told this VM that it drains.
func (m *Member) BroadcastDraining(server string, startedAt time.Time) {
	m.sendReport(m.self.Address, newDrainingReport(server, startedAt))
}

func newDrainingReport(server string, startedAt time.Time) *wire.Envelope {
	return &wire.Envelope{Kind: codec.KindDraining, UpstreamDraining: &wire.UpstreamDraining{Upstream: server, StartedAt: startedAt}}
}

// sendReport sends a report that came from one VM to the other connected VMs.
func (m *Member) sendReport(from netip.AddrPort, e *wire.Envelope) {
	others := slices.DeleteFunc(m.connectedVMs(), func(vm netip.AddrPort) bool { return vm == from })
	m.peers.SendAll(others, e)
}

// Undelivered discards messages that were never sent. The next heartbeat replaces them, and for forwarded queries
// the handler is notified through ConnectionLost. After a lost report of admitted requests, the next one is a full one.
func (m *Member) Undelivered(vm netip.AddrPort, messages []*wire.Envelope) {
	if slices.ContainsFunc(messages, func(e *wire.Envelope) bool { return e.UsageReport != nil }) {
		m.forgetMet(vm)
	}
}

// Connected tells a VM what was reported before there was a connection to it. Reports are sent once, and to the connected
// VMs only, so that a VM that starts, or returns from a partition, has missed them.
func (m *Member) Connected(vm netip.AddrPort) {
	m.worker.Submit(func() {
		m.forgetMet(vm)
		m.introduce(time.Now(), vm)
	})
}

func (m *Member) introduce(now time.Time, vm netip.AddrPort) {
	for _, s := range m.listener.SaidDraining() {
		m.peers.Send(vm, newDrainingReport(s.ID, s.StartedAt))
	}
	for _, c := range m.listener.Crashes(now) {
		m.peers.Send(vm, newCrashReport(now, c))
	}
}

// Disconnected notifies the query handler that queries sent to the VM may be lost. The transport reconnects by itself.
func (m *Member) Disconnected(vm netip.AddrPort) {
	m.queries.ConnectionLost(vm)
}

// ConnectFailed records that a VM does not accept connections.
func (m *Member) ConnectFailed(vm netip.AddrPort) {
	m.worker.Submit(func() { m.fleet.RecordRefusedConnection(time.Now(), vm) })
}
