// Package fleet tracks the VMs of a tier and decides which of them owns each upstream.
//
// A VM owns an upstream if it has the highest rendezvous weight among the members of the upstream's
// availability zone and no other VM can still own it. Another VM is known not to own it once it has
// been silent towards every VM for the takeover delay, or has acknowledged this VM's ownership term
// under the same configuration for as long, or has handed the upstream over.
package fleet

import (
	"net/netip"
	"time"

	"pistachioshore.dev/table"
)

// heardLimit bounds the peers listed in a heartbeat; the largest tier of today has 8 VMs.
const heardLimit = 8

// Self is this VM.
type Self struct {
	Address     netip.AddrPort
	Zone        string
	Incarnation uint64
}

// ListedVM is a VM in the platform's list.
type ListedVM struct {
	Address netip.AddrPort
	Zone    string
	Leaving bool
}

// HeardPeer says how long ago the sender of a heartbeat heard directly from another VM.
type HeardPeer struct {
	Address     netip.AddrPort
	Incarnation uint64
	Term        uint64 // last heard from that VM; the VM learns from it that its term is known
	Age         time.Duration
}

// Heartbeat is what a VM tells each peer about itself.
type Heartbeat struct {
	Address     netip.AddrPort
	Zone        string
	Incarnation uint64
	Term        uint64 // ownership term: rises after a pause and when a member of the zone leaves
	Leaving     bool
	Ready       bool
	Revision    uint64 // of the configuration in force, 0 if there is none
	Digest      uint64
	HeardPeers  []HeardPeer
}

// Upstream is an upstream of the configuration in force.
type Upstream struct {
	Name string
	Zone string
}

// Changes is what a Tick found; Lost is to be applied before Acquired.
type Changes struct {
	Paused    bool             // the tick gap exceeded Fence and all ownership was dropped
	ConnectTo []netip.AddrPort // try a fresh connection to these VMs
	Acquired  []string         // upstreams that this VM owns from now on
	Lost      []LostUpstream   // upstreams that this VM no longer owns
	DeadVMs   []netip.AddrPort // VMs that became dead or returned with another incarnation
}

// LostUpstream is an upstream that this VM no longer owns.
type LostUpstream struct {
	Upstream  string
	Successor netip.AddrPort // hand over to this VM; invalid if nobody takes it
	Term      uint64         // of To; the handover message carries it
}

// Ownership is an upstream for which this VM is the owner or waits to become it.
type Ownership struct {
	Upstream string
	Acquired bool
	Since    time.Time // of the acquisition, or of the wait
}

// PeerStatus is the status of another VM.
type PeerStatus struct {
	Address     netip.AddrPort
	Zone        string
	State       State
	SinceHeard  time.Duration // since any VM last heard it; 0 if none has
	Incarnation uint64
}

// Table holds the membership and ownership view of one VM; it is safe for concurrent use.
//
// Every method that takes a time first checks for a pause, so that a resumed VM drops its ownership
// before it acts on anything else.
type Table struct {
	view *table.Guarded[view]
}

// New returns the table of a VM that started at now and owns nothing.
func New(self Self, s Settings, now time.Time) *Table {
	return &Table{view: table.NewGuarded(table.RankFleet, newView(self, s, now))}
}

// SetListed takes the platform's list: it adds VMs to contact and removes unlisted VMs that no VM hears.
func (t *Table) SetListed(now time.Time, vms []ListedVM) {
	t.at(now, func(v *view) { v.list(now, vms) })
}

// SetUpstreams replaces the upstreams by those of the configuration in force.
func (t *Table) SetUpstreams(now time.Time, ups []Upstream) {
	t.at(now, func(v *view) { v.setUpstreams(now, ups) })
}

// SetDrained replaces the set of VMs that operators have drained; they own nothing.
func (t *Table) SetDrained(now time.Time, vms []netip.AddrPort) {
	t.at(now, func(v *view) { v.setOut(now, vms) })
}

// ReceiveHeartbeat takes a heartbeat; a changed incarnation is a new VM at the same address.
func (t *Table) ReceiveHeartbeat(now time.Time, h Heartbeat) {
	t.at(now, func(v *view) { v.hear(now, h) })
}

// RecordMessage notes that a message other than a heartbeat arrived from the VM.
func (t *Table) RecordMessage(now time.Time, vm netip.AddrPort) {
	t.at(now, func(v *view) { v.progress(now, vm) })
}

// RecordRefusedConnection notes that a fresh connection to the VM failed; the VM is suspect until it is heard again.
func (t *Table) RecordRefusedConnection(now time.Time, vm netip.AddrPort) {
	t.at(now, func(v *view) { v.refused(now, vm) })
}

// NextHeartbeat returns the heartbeat to send now.
//
// The upstreams and the drained VMs of the given revision must have been set before. This VM becomes
// a member, which can own upstreams, with its first revision above 0.
func (t *Table) NextHeartbeat(now time.Time, revision, digest uint64, ready bool) Heartbeat {
	var h Heartbeat
	t.at(now, func(v *view) {
		v.setConfiguration(now, revision, digest)
		h = v.heartbeat(now, ready)
	})
	return h
}

// Tick updates the view and returns what changed since the last call.
func (t *Table) Tick(now time.Time) Changes {
	var c Changes
	t.at(now, func(v *view) { c = v.tick(now) })
	return c
}

// ReceiveHandover notes that another VM has stopped being the owner of the upstreams in favour of this VM.
//
// The term is the one of this VM that the sender knew. A handover with an outdated term, or from a
// VM that could not have been the owner, changes nothing.
func (t *Table) ReceiveHandover(now time.Time, from netip.AddrPort, term uint64, upstreams []string) {
	t.at(now, func(v *view) { v.handover(now, from, term, upstreams) })
}

// Owns reports whether this VM has acquired the upstream; check Fenced as well before releasing work.
func (t *Table) Owns(upstream string) bool {
	return table.WithResult(t.view, func(v *view) bool { return v.owns(upstream) })
}

// Fenced reports whether the last tick is so old that nothing may be released before the next one.
func (t *Table) Fenced(now time.Time) bool {
	return table.WithResult(t.view, func(v *view) bool { return now.Sub(v.ticked) > v.settings.FenceAfter })
}

// Owner returns the VM to which sub-requests for the upstream go, if its zone has a member.
func (t *Table) Owner(upstream string) (netip.AddrPort, bool) {
	var vm netip.AddrPort
	t.view.With(func(v *view) { vm = v.owners[upstream].address })
	return vm, vm.IsValid()
}

// RankVMs returns the live VMs of the tier that are not leaving, highest weight for the key first.
//
// This VM is included unless it is leaving and another VM is live.
func (t *Table) RankVMs(key uint64) []netip.AddrPort {
	return table.WithResult(t.view, func(v *view) []netip.AddrPort { return rank(v.live, key) })
}

// WatchesPlatform reports whether this VM is one of the two in its zone that watch the platform.
func (t *Table) WatchesPlatform() bool {
	return table.WithResult(t.view, func(v *view) bool { return v.watches })
}

// Leave starts a planned shutdown: this VM owns nothing any more, and Lost of the next Tick lists the
// successors.
func (t *Table) Leave(now time.Time) {
	t.at(now, func(v *view) { v.leave(now) })
}

// Peers returns the status of all other known VMs, ordered by address.
func (t *Table) Peers(now time.Time) []PeerStatus {
	return table.WithResult(t.view, func(v *view) []PeerStatus { return v.status(now) })
}

// Ownerships returns the upstreams that this VM owns or waits for, ordered by name.
func (t *Table) Ownerships() []Ownership {
	return table.WithResult(t.view, func(v *view) []Ownership { return v.ownerships() })
}

func (t *Table) at(now time.Time, fn func(v *view)) {
	t.view.With(func(v *view) {
		v.checkPause(now)
		fn(v)
	})
}
