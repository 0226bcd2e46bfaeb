package permit

import (
	"net/netip"
	"time"

	"pistachioshore.dev/table"
)

// Table holds the permits that one incarnation of a VM has issued; it is safe for concurrent use.
type Table struct {
	book *table.Guarded[book]
}

// New returns the empty table of a VM's incarnation.
func New(issuer netip.AddrPort, incarnation uint64, s Settings) *Table {
	b := book{issuer: issuer, incarnation: incarnation, settings: s, entries: map[uint64]*entry{}}
	return &Table{book: table.NewGuarded(table.RankPermit, b)}
}

// Issue returns a new permit with the caller's random token; it fails with Overloaded while the
// table is full and with Stopping after Revoke.
func (t *Table) Issue(now time.Time, token string) (Permit, error) {
	var p Permit
	var err error
	t.book.With(func(b *book) { p, err = b.issue(now, token) })
	return p, err
}

// Consume decides whether the request with this permit and body fingerprint runs now.
func (t *Table) Consume(now time.Time, p Permit, fingerprint uint64) Decision {
	return table.WithResult(t.book, func(b *book) Decision {
		d := b.consume(now, p, fingerprint)
		b.count(d)
		return d
	})
}

// Finish records the outcome of an execution and releases the callers that wait for it. A permit
// stays consumed when its request was certainly not run: otherwise a delayed duplicate of the request
// could run after the caller was told "not run".
//
// It is called exactly once for each Run decision: a second call for an earlier execution would be
// taken for the outcome of the one that is under way.
func (t *Table) Finish(now time.Time, p Permit, o Outcome) {
	t.book.With(func(b *book) { b.finish(now, p, o) })
}

// Expire forgets the permits whose time to be kept is over, whether or not they have finished.
func (t *Table) Expire(now time.Time) {
	t.book.With(func(b *book) { b.expire(now) })
}

// RevokeAll stops the issue of permits, makes all that have not run void and returns how many of
// them could still have been consumed.
func (t *Table) RevokeAll(now time.Time) int {
	return table.WithResult(t.book, func(b *book) int { return b.revoke(now) })
}

// Running returns the number of executions under way.
func (t *Table) Running() int {
	return table.WithResult(t.book, func(b *book) int { return b.counts.Running })
}

// Counts returns the table's totals.
func (t *Table) Counts() Counts {
	return table.WithResult(t.book, func(b *book) Counts {
		c := b.counts
		c.Held = len(b.entries)
		return c
	})
}
