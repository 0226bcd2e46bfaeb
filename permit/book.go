package permit

import (
	"crypto/subtle"
	"net/netip"
	"time"

	"pistachioshore.dev/result"
)

// executionState is the state of the execution of the request with a permit.
type executionState uint8

const (
	notStarted executionState = iota // the permit has not been consumed
	running
	finished
)

// entry is a permit in the table, with the execution of its request.
type entry struct {
	permit      Permit
	execution   executionState
	expired     bool
	bodyBound   bool // the permit is bound to the body with this fingerprint
	fingerprint uint64
	outcome     Outcome
	done        chan struct{} // closed when the execution in progress ends
}

// tableState is the state of a table. Each permit is in one of the three lists, which have the oldest permit first.
type tableState struct {
	issuer        netip.AddrPort
	incarnation   uint64
	settings      Settings
	lastSequence  uint64 // sequence number of the newest permit
	revoked       bool
	entries       map[uint64]*entry
	unexpired     []uint64 // sequence numbers of the permits not expired at the last check
	expiredUnused []uint64 // of those that expired without being consumed
	expiredUsed   []uint64 // of those that were consumed and then expired
	counts        Counts
}

func (s *tableState) issue(now time.Time, token string) (Permit, error) {
	if s.revoked {
		return Permit{}, result.New(result.Stopping, "the VM issues no more permits")
	}
	s.expire(now)
	if len(s.entries) >= s.settings.MaxPermits && !s.evictUnused() {
		s.counts.Overloads++
		return Permit{}, result.New(result.Overloaded, "the permit table is full")
	}
	s.lastSequence++
	s.counts.Issued++
	p := Permit{
		Issuer:      s.issuer,
		Incarnation: s.incarnation,
		Sequence:    s.lastSequence,
		Token:       token,
		Expires:     now.Add(s.settings.Lifetime),
	}
	s.entries[p.Sequence] = &entry{permit: p}
	s.unexpired = append(s.unexpired, p.Sequence)
	return p, nil
}

func (s *tableState) consume(now time.Time, p Permit, fingerprint uint64) Decision {
	if p.Issuer != s.issuer || p.Incarnation != s.incarnation {
		return Decision{Refusal: result.IssuerGone}
	}
	s.expire(now)
	e, ok := s.entries[p.Sequence]
	switch {
	case p.Sequence == 0 || p.Sequence > s.lastSequence:
		return Decision{Refusal: result.PermitInvalid}
	case !ok:
		return Decision{Refusal: result.PermitForgotten}
	case !e.matches(p) || (e.bodyBound && e.fingerprint != fingerprint):
		return Decision{Refusal: result.PermitInvalid}
	}
	return s.decide(now, e, fingerprint)
}

func (s *tableState) decide(now time.Time, e *entry, fingerprint uint64) Decision {
	switch {
	case e.execution == running:
		return Decision{Wait: e.done}
	case e.execution == finished:
		o := e.outcome
		return Decision{Outcome: &o}
	case !e.notExpired(now):
		return Decision{Refusal: result.PermitExpired}
	case s.revoked:
		return Decision{Refusal: result.PermitVoid}
	}
	e.execution = running
	e.bodyBound = true
	e.fingerprint = fingerprint
	e.done = make(chan struct{})
	s.counts.Running++
	return Decision{Run: true}
}

func (s *tableState) finish(now time.Time, p Permit, o Outcome) {
	e, ok := s.entries[p.Sequence]
	if !ok || !e.matches(p) || e.execution != running {
		return
	}
	s.counts.Running--
	close(e.done)
	e.execution = finished
	e.outcome = o
	s.expire(now)
}

func (s *tableState) revoke(now time.Time) int {
	s.revoked = true
	s.expire(now)
	n := 0
	for _, seq := range s.unexpired {
		if e := s.entries[seq]; e.execution == notStarted && e.notExpired(now) {
			n++
		}
	}
	return n
}

// expire moves the permits whose lifetime is over to one of the lists of expired permits, and removes those whose
// retention time is over as well.
func (s *tableState) expire(now time.Time) {
	for len(s.unexpired) > 0 {
		e := s.entries[s.unexpired[0]]
		if e.notExpired(now) {
			break
		}
		e.expired = true
		if e.execution == notStarted {
			s.expiredUnused = append(s.expiredUnused, s.unexpired[0])
		} else {
			s.expiredUsed = append(s.expiredUsed, s.unexpired[0])
		}
		s.unexpired = s.unexpired[1:]
	}
	s.expiredUnused = s.removePastRetention(now, s.expiredUnused)
	s.expiredUsed = s.removePastRetention(now, s.expiredUsed)
}

func (s *tableState) removePastRetention(now time.Time, list []uint64) []uint64 {
	for len(list) > 0 && !now.Before(s.entries[list[0]].permit.Expires.Add(s.settings.Retention)) {
		s.remove(list[0])
		list = list[1:]
	}
	return list
}

// evictUnused makes room by removing the oldest permit that expired without being consumed. From then on its caller is
// told that the request may have run, which is less precise than before but not false.
func (s *tableState) evictUnused() bool {
	if len(s.expiredUnused) == 0 {
		return false
	}
	s.remove(s.expiredUnused[0])
	s.expiredUnused = s.expiredUnused[1:]
	return true
}

func (s *tableState) remove(seq uint64) {
	if e := s.entries[seq]; e.execution == running {
		close(e.done)
		s.counts.Running--
		s.counts.Unfinished++
	}
	delete(s.entries, seq)
	s.counts.Forgotten++
}

func (s *tableState) countDecision(d Decision) {
	switch {
	case d.Run:
		s.counts.Runs++
	case d.Wait != nil:
		s.counts.Waits++
	case d.Outcome != nil:
		s.counts.Replays++
	default:
		s.counts.Refusals++
	}
}

// notExpired reports whether the permit has not expired. It stays false once the permit was found expired, because
// other goroutines may pass a slightly earlier time.
func (e *entry) notExpired(now time.Time) bool {
	return !e.expired && now.Before(e.permit.Expires)
}

func (e *entry) matches(p Permit) bool {
	return subtle.ConstantTimeCompare([]byte(e.permit.Token), []byte(p.Token)) == 1
}
