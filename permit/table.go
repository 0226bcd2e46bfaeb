package permit

import (
	"net/netip"
	"time"

	"pistachioshore.dev/table"
)

// Table holds the permits issued by one incarnation of a VM. It is safe for concurrent use.
type Table struct {
	state *table.Guarded[tableState]
}

// New returns an empty table for one incarnation of the VM with the address issuer.
func New(issuer netip.AddrPort, incarnation uint64, s Settings) *Table {
	st := tableState{issuer: issuer, incarnation: incarnation, settings: s, entries: map[uint64]*entry{}}
	return &Table{state: table.NewGuarded(table.RankPermit, st)}
}

// Issue returns a new permit with the given random token. It fails with result.Overloaded while the table is full, and
// with result.Stopping after RevokeAll.
func (t *Table) Issue(now time.Time, token string) (Permit, error) {
	var p Permit
	var err error
	t.state.With(func(s *tableState) { p, err = s.issue(now, token) })
	return p, err
}

// Consume decides how to handle a request with the given permit. The fingerprint is a hash of the request's content. Once
// consumed, a permit is refused with any other content.
func (t *Table) Consume(now time.Time, p Permit, fingerprint uint64) Decision {
	return table.WithResult(t.state, func(s *tableState) Decision {
		d := s.consume(now, p, fingerprint)
		s.countDecision(d)
		return d
	})
}

// Finish records the outcome of an execution and wakes the callers that wait for it. The permit stays consumed even if
// the request certainly did not run. Otherwise, a delayed duplicate of the request could run after the caller was told
// that it did not.
//
// Finish must be called exactly once for each decision with Run set. A second call would be taken for the outcome of an
// execution that is in progress.
func (t *Table) Finish(now time.Time, p Permit, o Outcome) {
	t.state.With(func(s *tableState) { s.finish(now, p, o) })
}

// Expire removes the permits whose retention time is over, even if their execution has not finished.
func (t *Table) Expire(now time.Time) {
	t.state.With(func(s *tableState) { s.expire(now) })
}

// RevokeAll stops issuing permits and voids all that have not been consumed. It returns how many of those had not
// expired.
func (t *Table) RevokeAll(now time.Time) int {
	return table.WithResult(t.state, func(s *tableState) int { return s.revoke(now) })
}

// Running returns the number of executions in progress.
func (t *Table) Running() int {
	return table.WithResult(t.state, func(s *tableState) int { return s.counts.Running })
}

// Counts returns the table's counts.
func (t *Table) Counts() Counts {
	return table.WithResult(t.state, func(s *tableState) Counts {
		c := s.counts
		c.Held = len(s.entries)
		return c
	})
}
