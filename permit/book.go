package permit

import (
	"crypto/subtle"
	"net/netip"
	"time"

	"pistachioshore.dev/result"
)

type progress uint8

const (
	unused progress = iota // never consumed
	running
	ended
)

type entry struct {
	permit      Permit
	progress    progress
	expired     bool
	bound       bool // a body was presented, and no other is accepted
	fingerprint uint64
	outcome     Outcome
	done        chan struct{} // closed when the execution under way ends
}

// book is the state of a table. Each permit is in one of three lists, oldest first.
type book struct {
	issuer      netip.AddrPort
	incarnation uint64
	settings    Settings
	last        uint64 // sequence number of the newest permit
	revoked     bool
	entries     map[uint64]*entry
	live        []uint64 // not expired when last looked at
	lapsed      []uint64 // expired without a run
	kept        []uint64 // expired after a run
	counts      Counts
}

func (b *book) issue(now time.Time, token string) (Permit, error) {
	if b.revoked {
		return Permit{}, result.New(result.Stopping, "the VM issues no more permits")
	}
	b.expire(now)
	if len(b.entries) >= b.settings.MaxPermits && !b.dropLapsed() {
		b.counts.Overloads++
		return Permit{}, result.New(result.Overloaded, "the permit table is full")
	}
	b.last++
	b.counts.Issued++
	p := Permit{
		Issuer:      b.issuer,
		Incarnation: b.incarnation,
		Sequence:    b.last,
		Token:       token,
		Expires:     now.Add(b.settings.Lifetime),
	}
	b.entries[p.Sequence] = &entry{permit: p}
	b.live = append(b.live, p.Sequence)
	return p, nil
}

func (b *book) consume(now time.Time, p Permit, fingerprint uint64) Decision {
	if p.Issuer != b.issuer || p.Incarnation != b.incarnation {
		return Decision{Refusal: result.IssuerGone}
	}
	b.expire(now)
	e, ok := b.entries[p.Sequence]
	switch {
	case p.Sequence == 0 || p.Sequence > b.last:
		return Decision{Refusal: result.PermitInvalid}
	case !ok:
		return Decision{Refusal: result.PermitForgotten}
	case !e.matches(p) || (e.bound && e.fingerprint != fingerprint):
		return Decision{Refusal: result.PermitInvalid}
	}
	return b.decide(now, e, fingerprint)
}

func (b *book) decide(now time.Time, e *entry, fingerprint uint64) Decision {
	switch {
	case e.progress == running:
		return Decision{Wait: e.done}
	case e.progress == ended:
		o := e.outcome
		return Decision{Outcome: &o}
	case !e.consumable(now):
		return Decision{Refusal: result.PermitExpired}
	case b.revoked:
		return Decision{Refusal: result.PermitVoid}
	}
	e.progress = running
	e.bound = true
	e.fingerprint = fingerprint
	e.done = make(chan struct{})
	b.counts.Running++
	return Decision{Run: true}
}

func (b *book) finish(now time.Time, p Permit, o Outcome) {
	e, ok := b.entries[p.Sequence]
	if !ok || !e.matches(p) || e.progress != running {
		return
	}
	b.counts.Running--
	close(e.done)
	e.progress = ended
	e.outcome = o
	b.expire(now)
}

func (b *book) revoke(now time.Time) int {
	b.revoked = true
	b.expire(now)
	n := 0
	for _, seq := range b.live {
		if e := b.entries[seq]; e.progress == unused && e.consumable(now) {
			n++
		}
	}
	return n
}

// expire moves permits whose lifetime is over to the lapsed or kept list and forgets those whose
// time to be kept is over as well.
func (b *book) expire(now time.Time) {
	for len(b.live) > 0 {
		e := b.entries[b.live[0]]
		if e.consumable(now) {
			break
		}
		e.expired = true
		if e.progress == unused {
			b.lapsed = append(b.lapsed, b.live[0])
		} else {
			b.kept = append(b.kept, b.live[0])
		}
		b.live = b.live[1:]
	}
	b.lapsed = b.forget(now, b.lapsed)
	b.kept = b.forget(now, b.kept)
}

func (b *book) forget(now time.Time, list []uint64) []uint64 {
	for len(list) > 0 && !now.Before(b.entries[list[0]].permit.Expires.Add(b.settings.Retention)) {
		b.drop(list[0])
		list = list[1:]
	}
	return list
}

// dropLapsed makes room by forgetting the oldest permit that expired without a run. Its caller is
// told from then on that it may have run, which is weaker than the truth but not false.
func (b *book) dropLapsed() bool {
	if len(b.lapsed) == 0 {
		return false
	}
	b.drop(b.lapsed[0])
	b.lapsed = b.lapsed[1:]
	return true
}

func (b *book) drop(seq uint64) {
	if e := b.entries[seq]; e.progress == running {
		close(e.done)
		b.counts.Running--
		b.counts.Unfinished++
	}
	delete(b.entries, seq)
	b.counts.Forgotten++
}

func (b *book) count(d Decision) {
	switch {
	case d.Run:
		b.counts.Runs++
	case d.Wait != nil:
		b.counts.Waits++
	case d.Outcome != nil:
		b.counts.Replays++
	default:
		b.counts.Refusals++
	}
}

// consumable stays false once the permit was seen to be expired, because callers on other
// goroutines may pass a time that is slightly earlier.
func (e *entry) consumable(now time.Time) bool {
	return !e.expired && now.Before(e.permit.Expires)
}

func (e *entry) matches(p Permit) bool {
	return subtle.ConstantTimeCompare([]byte(e.permit.Token), []byte(p.Token)) == 1
}
