// Package fleet tracks the membership of a tier and decides which VM owns each upstream.
//
// The owner VM of an upstream is the only one that sends requests to it; the other VMs send their
// sub-requests to the owner VM. The members are the VMs that can own upstreams.
//
// A VM owns an upstream if it has the highest rendezvous weight among the members in the upstream's
// availability zone and no other VM can still own it. Another VM is known not to own the upstream once
// one of these holds:
//
//   - no VM has heard from it for the takeover delay;
//   - it acknowledged this VM's ownership term under the same configuration at least the takeover
//     delay ago;
//   - it handed the upstream over.
package fleet

import (
	"net/netip"
	"time"

	"pistachioshore.dev/table"
)

// maxHeardPeers is the maximum number of peers listed in a heartbeat; the largest tier has 8 VMs.
const maxHeardPeers = 8

// Self identifies the local VM.
type Self struct {
	Address     netip.AddrPort
	Zone        string
	Incarnation uint64 // differs for each start of the process
}

// ListedVM is an entry of the VM list that the platform publishes.
type ListedVM struct {
	Address netip.AddrPort
	Zone    string
	Leaving bool // listed as shutting down
}

// HeardPeer tells how long ago the sender of a heartbeat heard directly from another VM.
type HeardPeer struct {
	Address     netip.AddrPort
	Incarnation uint64
	Term        uint64        // last term received from that VM, which takes it as an acknowledgement
	Age         time.Duration // time since the sender last heard from that VM
}

// Heartbeat is the state that a VM periodically sends to each peer.
type Heartbeat struct {
	Address     netip.AddrPort
	Zone        string
	Incarnation uint64
	Term        uint64 // ownership term; a pause, a new configuration or the loss of a member of the zone increases it
	Leaving     bool   // the sender is shutting down
	Ready       bool   // the sender is ready to serve requests
	Revision    uint64 // revision of the current configuration, 0 without one
	Digest      uint64 // hash of the content of the current configuration
	HeardPeers  []HeardPeer
}

// Upstream is an upstream of the current configuration.
type Upstream struct {
	Name string
	Zone string
}

// Changes are the effects of one Tick. The caller must apply Lost before Acquired.
type Changes struct {
	Paused    bool             // the time since the previous tick exceeded FenceAfter, so all ownership was dropped
	ConnectTo []netip.AddrPort // VMs to open a new connection to
	Acquired  []string         // upstreams that this VM owns from now on
	Lost      []LostUpstream   // upstreams that this VM no longer owns
	DeadVMs   []netip.AddrPort // VMs that died or returned with another incarnation
}

// LostUpstream is an upstream that this VM no longer owns.
type LostUpstream struct {
	Upstream  string
	Successor netip.AddrPort // VM to hand over to; invalid if there is none
	Term      uint64         // ownership term of the successor, which the handover message carries
}

// Ownership is an upstream that this VM owns or is waiting to acquire.
type Ownership struct {
	Upstream string
	Acquired bool      // false while this VM waits to acquire it
	Since    time.Time // start of the ownership, or of the wait for it
}

// PeerStatus is the status of another VM.
type PeerStatus struct {
	Address     netip.AddrPort
	Zone        string
	State       State
	SinceHeard  time.Duration // time since any VM last heard from it; 0 if none has
	Incarnation uint64        // 0 until this VM has received a heartbeat from it
}

// Table holds one VM's view of membership and ownership. It is safe for concurrent use.
//
// Every method that updates the view first checks for a pause of the process, so that a resumed VM
// drops its ownership before it acts on anything else.
type Table struct {
	view *table.Guarded[view]
}

// New returns the table of a VM that starts at now without owning any upstream.
func New(self Self, s Settings, now time.Time) *Table {
	return &Table{view: table.NewGuarded(table.RankFleet, newView(self, s, now))}
}

// SetListed applies the platform's VM list: it adds new VMs to contact and removes unlisted VMs that
// no VM hears from.
func (t *Table) SetListed(now time.Time, vms []ListedVM) {
	t.update(now, func(v *view) { v.setListed(now, vms) })
}

// SetUpstreams replaces the upstreams with those of the current configuration.
func (t *Table) SetUpstreams(now time.Time, upstreams []Upstream) {
	t.update(now, func(v *view) { v.setUpstreams(now, upstreams) })
}

// SetDrained replaces the set of VMs that operators have drained. Drained VMs own no upstreams.
func (t *Table) SetDrained(now time.Time, vms []netip.AddrPort) {
	t.update(now, func(v *view) { v.setDrained(now, vms) })
}

// ReceiveHeartbeat applies a heartbeat. A changed incarnation means a new VM at the same address.
func (t *Table) ReceiveHeartbeat(now time.Time, h Heartbeat) {
	t.update(now, func(v *view) { v.receiveHeartbeat(now, h) })
}

// RecordMessage records that a message other than a heartbeat arrived from the VM.
func (t *Table) RecordMessage(now time.Time, vm netip.AddrPort) {
	t.update(now, func(v *view) { v.recordMessage(now, vm) })
}

// RecordRefusedConnection records that a new connection to the VM failed. The VM is suspect until it
// is heard from again.
func (t *Table) RecordRefusedConnection(now time.Time, vm netip.AddrPort) {
	t.update(now, func(v *view) { v.recordRefusedConnection(now, vm) })
}

// NextHeartbeat returns the heartbeat to send now. The digest is a hash of the content of the
// configuration with the given revision, and ready tells whether this VM is ready to serve requests.
//
// The caller must already have set the upstreams and the drained VMs of the given revision. With its first
// revision above 0, this VM becomes a member and can own upstreams.
func (t *Table) NextHeartbeat(now time.Time, revision, digest uint64, ready bool) Heartbeat {
	var h Heartbeat
	t.update(now, func(v *view) {
		v.setConfiguration(now, revision, digest)
		h = v.nextHeartbeat(now, ready)
	})
	return h
}

// Tick updates the view and returns what changed since the last call.
func (t *Table) Tick(now time.Time) Changes {
	var c Changes
	t.update(now, func(v *view) { c = v.tick(now) })
	return c
}

// ReceiveHandover applies a handover, by which another VM gives up the upstreams in favour of this VM.
//
// The term is this VM's term as the sender knew it. A handover with an outdated term, or from a VM
// that cannot have been the owner, has no effect.
func (t *Table) ReceiveHandover(now time.Time, from netip.AddrPort, term uint64, upstreams []string) {
	t.update(now, func(v *view) { v.receiveHandover(now, from, term, upstreams) })
}

// Owns reports whether this VM owns the upstream. Check Fenced as well before sending work to it.
func (t *Table) Owns(upstream string) bool {
	return table.WithResult(t.view, func(v *view) bool { return v.owns(upstream) })
}

// Fenced reports whether the last tick is too old for this VM to act as an owner before the next one.
func (t *Table) Fenced(now time.Time) bool {
	return table.WithResult(t.view, func(v *view) bool { return now.Sub(v.lastTick) > v.settings.FenceAfter })
}

// Owner returns the VM that receives the sub-requests for the upstream; there is none if the zone has
// no members.
func (t *Table) Owner(upstream string) (netip.AddrPort, bool) {
	var vm netip.AddrPort
	t.view.With(func(v *view) { vm = v.owners[upstream].address })
	return vm, vm.IsValid()
}

// RankVMs returns the live VMs of the tier that are not leaving, ordered by descending rendezvous
// weight for the key.
//
// This VM is included unless it is leaving and another VM is live.
func (t *Table) RankVMs(key uint64) []netip.AddrPort {
	return table.WithResult(t.view, func(v *view) []netip.AddrPort { return rank(v.liveVMs, key) })
}

// WatchesPlatform reports whether this VM is one of the two in its zone that watch the platform.
func (t *Table) WatchesPlatform() bool {
	return table.WithResult(t.view, func(v *view) bool { return v.watchesPlatform })
}

// Leave starts a planned shutdown: this VM gives up all ownership, and the next Tick returns the
// successors in Lost.
func (t *Table) Leave(now time.Time) {
	t.update(now, func(v *view) { v.leave(now) })
}

// Peers returns the status of all other known VMs, sorted by address.
func (t *Table) Peers(now time.Time) []PeerStatus {
	return table.WithResult(t.view, func(v *view) []PeerStatus { return v.peerStatuses(now) })
}

// Ownerships returns the upstreams that this VM owns or is waiting for, sorted by name.
func (t *Table) Ownerships() []Ownership {
	return table.WithResult(t.view, func(v *view) []Ownership { return v.ownerships() })
}

// update calls fn with the view while it is locked, after a check for a pause.
func (t *Table) update(now time.Time, fn func(v *view)) {
	t.view.With(func(v *view) {
		v.checkPause(now)
		fn(v)
	})
}
