package fleet

import (
	"net/netip"
	"time"
)

// State is the state of another VM as seen by this VM.
type State int

// States of a VM.
const (
	StateListed  State = iota // listed by the platform, but never heard from by any VM
	StateLive                 // heard from within SuspectAfter
	StateSuspect              // silent for SuspectAfter, or it refused a connection
	StateDead                 // silent towards every VM for DeadAfter
	StateLeaving              // live and shutting down
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"listed", "live", "suspect", "dead", "leaving"}[s]
}

// peer is what this VM knows about another VM.
type peer struct {
	address     netip.AddrPort
	zone        string // empty until the platform's list or a heartbeat names it
	listed      bool
	tryingSince time.Time // when it was added, or the end of this VM's last pause

	// Taken from the heartbeats of the current incarnation.
	heard       bool // a heartbeat has arrived
	incarnation uint64
	term        uint64
	revision    uint64
	digest      uint64
	leftAt      time.Time // arrival of the first heartbeat with the leaving flag
	ackedAt     time.Time // when the VM acknowledged the term of this VM, after which it owns none of this VM's upstreams

	lastDirect   time.Time // arrival of the last message at this VM
	lastReported time.Time // arrival of the last heartbeat at another VM
	graceStart   time.Time // end of this VM's last pause; silence before it proves nothing
	refusedAt    time.Time // last refused connection

	// Derived by updateMembership.
	live            bool
	member          bool
	minHandoverTerm uint64 // handovers for an earlier term of this VM are outdated
}

// resetIncarnation discards what was learned from the heartbeats of an earlier incarnation.
func (p *peer) resetIncarnation(incarnation uint64) {
	p.heard = true
	p.incarnation = incarnation
	p.term, p.revision, p.digest = 0, 0, 0
	p.leftAt, p.ackedAt = time.Time{}, time.Time{}
}

// lastHeard returns when any VM last heard from the peer, or the zero time.
func (p *peer) lastHeard() time.Time {
	return latest(p.lastDirect, p.lastReported)
}

// silentFor reports whether no VM has heard from the peer for d.
func (p *peer) silentFor(d time.Duration, now time.Time) bool {
	last := p.lastHeard()
	return last.IsZero() || now.Sub(latest(last, p.graceStart)) >= d
}

// releasedAt returns the time from which the peer owns no upstream that is assigned to this VM, or the
// zero time if it may still own some.
func (p *peer) releasedAt() time.Time {
	if !p.leftAt.IsZero() {
		return p.leftAt // an acknowledgement does not cover upstreams it owned while it ranked before this VM
	}
	return p.ackedAt
}

// state returns the state of the peer for the status page.
func (p *peer) state(s Settings, now time.Time) State {
	switch {
	case p.lastHeard().IsZero():
		return StateListed
	case p.silentFor(s.DeadAfter, now):
		return StateDead
	case !p.leftAt.IsZero():
		return StateLeaving
	case p.silentFor(s.SuspectAfter, now), p.refusedAt.After(p.lastHeard()):
		return StateSuspect
	}
	return StateLive
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
