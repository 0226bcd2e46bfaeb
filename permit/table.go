package permit

import (
	"net/netip"
	"time"

	"pistachioshore.dev/table"
)

// Table holds the permits issued by one incarnation of a VM. It is safe for concurrent use.
type Table struct {
	book *table.Guarded[book]
}

// New returns an empty table for one incarnation of a VM.
func New(issuer netip.AddrPort, incarnation uint64, s Settings) *Table {
	b := book{issuer: issuer, incarnation: incarnation, settings: s, entries: map[uint64]*entry{}}
	return &Table{book: table.NewGuarded(table.RankPermit, b)}
}

// Issue returns a new permit with the given random token. It fails with result.Overloaded while the table is full, and
// with result.Stopping after RevokeAll.
func (t *Table) Issue(now time.Time, token string) (Permit, error) {
	var p Permit
	var err error
	t.book.With(func(b *book) { p, err = b.issue(now, token) })
	return p, err
}

// Consume decides how to handle a request with the given permit and body fingerprint.
func (t *Table) Consume(now time.Time, p Permit, fingerprint uint64) Decision {
	return table.WithResult(t.book, func(b *book) Decision {
		d := b.consume(now, p, fingerprint)
		b.count(d)
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
	t.book.With(func(b *book) { b.finish(now, p, o) })
}

// Expire removes the permits whose retention time is over, even if their execution has not finished.
func (t *Table) Expire(now time.Time) {
	t.book.With(func(b *book) { b.expire(now) })
}

// RevokeAll stops issuing permits and voids all that have not been consumed. It returns how many of those had not
// expired.
func (t *Table) RevokeAll(now time.Time) int {
	return table.WithResult(t.book, func(b *book) int { return b.revoke(now) })
}

// Running returns the number of executions in progress.
func (t *Table) Running() int {
	return table.WithResult(t.book, func(b *book) int { return b.counts.Running })
}

// Counts returns the table's counts.
func (t *Table) Counts() Counts {
	return table.WithResult(t.book, func(b *book) Counts {
		c := b.counts
		c.Held = len(b.entries)
		return c
	})
}
