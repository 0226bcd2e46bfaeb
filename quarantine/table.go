package quarantine

import (
	"container/list"
	"time"

	"pistachioshore.dev/table"
)

// Table holds what a VM knows of fingerprints; it is safe for concurrent use.
type Table struct {
	book *table.Guarded[book]
}

// New returns an empty table.
func New(s Settings) *Table {
	s.CrashThreshold = max(s.CrashThreshold, 1)
	s.MaxFingerprints = max(s.MaxFingerprints, 1)
	b := book{
		rules:   &s,
		counts:  &Counts{},
		records: map[uint64]*list.Element{},
		plain:   list.New(),
		held:    list.New(),
	}
	return &Table{book: table.NewGuarded(table.RankQuarantine, b)}
}

// Decide decides at the coordinator about a request that would have to end by deadline. At most
// Settings.Crashes canary requests are under way or have crashed without a success, and one after
// a quarantine. A canary request whose report is missing 1 s after its deadline is presumed to have
// crashed; a quarantine that rests on that lasts 10 s at most and is lifted by a late report.
func (t *Table) Decide(now time.Time, fp uint64, deadline time.Time) Decision {
	return table.WithResult(t.book, func(b *book) Decision {
		i := b.open(now, fp)
		if i == nil {
			b.counts.Full++
			return Decision{Wait, now.Add(fullRetry)}
		}
		defer b.place(i)
		return i.ask(now, deadline)
	})
}

// Lookup returns what is known without asking: a verdict Good or Refused.
func (t *Table) Lookup(now time.Time, fp uint64) (Decision, bool) {
	var a Decision
	t.book.With(func(b *book) {
		if el, ok := b.records[fp]; ok {
			i := b.touch(now, el)
			a = i.known(now)
			b.place(i)
		}
	})
	if a.Verdict == Good || a.Verdict == Refused {
		return a, true
	}
	return Decision{}, false
}

// Report takes at the coordinator how a run at an upstream ended and returns the new state, which
// it tells the other VMs: Good, Refused, or Wait until now, which means to ask again.
func (t *Table) Report(now time.Time, fp uint64, r Outcome, upstream string) Decision {
	return table.WithResult(t.book, func(b *book) Decision {
		i := b.open(now, fp)
		if i == nil {
			return Decision{Wait, now.Add(fullRetry)}
		}
		defer b.place(i)
		switch r {
		case Succeeded:
			i.success(now)
		case Crashed:
			i.crash(now, upstream)
		case NotRun:
			i.notRun(now)
		}
		return i.known(now)
	})
}

// ApplyDecision takes at another VM the state that the coordinator told it.
func (t *Table) ApplyDecision(now time.Time, fp uint64, a Decision) {
	t.book.With(func(b *book) {
		if i := b.open(now, fp); i != nil {
			i.learn(now, a)
			b.place(i)
		}
	})
}

// Counts returns the table's totals; its time grows with the number of fingerprints held.
func (t *Table) Counts() Counts {
	return table.WithResult(t.book, func(b *book) Counts {
		c := *b.counts
		for _, el := range b.records {
			switch el.Value.(*item).known(b.latest).Verdict {
			case Good:
				c.Good++
			case Refused:
				c.Quarantined++
			}
		}
		return c
	})
}
