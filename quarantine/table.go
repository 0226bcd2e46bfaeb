package quarantine

import (
	"container/list"
	"time"

	"pistachioshore.dev/table"
)

// Table holds the state of fingerprints at one VM. It is safe for concurrent use.
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

// Decide returns the coordinator's decision for a request that must end by deadline. Without a success, at most
// Settings.CrashThreshold canary requests are in flight or have crashed; after a quarantine, at most one. A canary
// request whose report is missing 1 s after its deadline is presumed to have crashed. A quarantine based on missing
// reports lasts at most 10 s and is lifted by a late report.
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

// Lookup returns the cached decision, which is Good or Refused, and false if the coordinator must be asked.
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

// Report records at the coordinator the outcome of a run at an upstream. It returns the new decision, which the
// coordinator sends to the other VMs: Good, Refused, or Wait until now, which means that they must ask again.
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

// ApplyDecision stores a decision of the coordinator at another VM.
func (t *Table) ApplyDecision(now time.Time, fp uint64, a Decision) {
	t.book.With(func(b *book) {
		if i := b.open(now, fp); i != nil {
			i.learn(now, a)
			b.place(i)
		}
	})
}

// Counts returns the table's counts. It takes time linear in the number of fingerprints.
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
