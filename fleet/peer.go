package fleet

import (
	"net/netip"
	"time"
)

// State is how a VM looks from this VM.
type State int

// The states of a VM.
const (
	StateListed  State = iota // in the platform's list, but never heard by any VM
	StateLive                 // heard within Suspect
	StateSuspect              // silent, or its address refused a connection
	StateDead                 // silent towards every VM for Dead
	StateLeaving              // live and shutting down
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"listed", "live", "suspect", "dead", "leaving"}[s]
}

// peer is what this VM knows of another VM.
type peer struct {
	address netip.AddrPort
	zone    string // empty until the list or a heartbeat names it
	listed  bool
	tryFrom time.Time // when it was added, or the end of this VM's last pause

	// From the heartbeats of the current incarnation.
	heard       bool // a heartbeat has arrived
	incarnation uint64
	term        uint64
	revision    uint64
	digest      uint64
	left        time.Time // of the first heartbeat with the leaving flag
	acked       time.Time // since when the VM leaves the upstreams of this VM alone

	direct   time.Time // last message to this VM
	reported time.Time // last heartbeat to another VM
	grace    time.Time // end of this VM's last pause, before which silence proves nothing
	refused  time.Time // last refused connection

	// As of the last settle.
	live   bool
	member bool
	floor  uint64 // handovers for an earlier term of this VM are outdated
}

// begin starts over with a new incarnation.
func (p *peer) begin(incarnation uint64) {
	p.heard = true
	p.incarnation = incarnation
	p.term, p.revision, p.digest = 0, 0, 0
	p.left, p.acked = time.Time{}, time.Time{}
}

// lastHeard returns when any VM last heard the peer, or the zero time.
func (p *peer) lastHeard() time.Time {
	return latest(p.direct, p.reported)
}

// silentFor reports whether no VM has heard the peer for d.
func (p *peer) silentFor(d time.Duration, now time.Time) bool {
	last := p.lastHeard()
	return last.IsZero() || now.Sub(latest(last, p.grace)) >= d
}

// released returns since when the peer has owned no upstream of this VM, or the zero time if it may.
func (p *peer) released() time.Time {
	if !p.left.IsZero() {
		return p.left // an acknowledgement does not cover what it owned before this VM was next in rank
	}
	return p.acked
}

// state returns the peer's state for the status page.
func (p *peer) state(s Settings, now time.Time) State {
	switch {
	case p.lastHeard().IsZero():
		return StateListed
	case p.silentFor(s.DeadAfter, now):
		return StateDead
	case !p.left.IsZero():
		return StateLeaving
	case p.silentFor(s.SuspectAfter, now), p.refused.After(p.lastHeard()):
		return StateSuspect
	}
	return StateLive
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
