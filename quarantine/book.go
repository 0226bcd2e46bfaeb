package quarantine

import (
	"container/list"
	"time"
)

// entry is a record together with its position in the order of use.
type item struct {
	record
	fp uint64
	in *list.List
}

// tableState is the state of a table. Records without suspected crashes are in the evictable list and make room for
// new ones. The others are in the retained list. Both lists have the most recently used record first.
type book struct {
	rules   *Settings
	counts  *Counts
	records map[uint64]*list.Element // of *entry
	plain   *list.List
	held    *list.List
	latest  time.Time
}

// getOrCreate returns the up-to-date entry of fp, which it creates if there is none, or nil if the table is full.
func (b *book) open(now time.Time, fp uint64) *item {
	if el, ok := b.records[fp]; ok {
		return b.touch(now, el)
	}
	b.latest = later(b.latest, now)
	if len(b.records) >= b.rules.MaxFingerprints && !b.evict(now) {
		return nil
	}
	i := &item{record: record{rules: b.rules, counts: b.counts}, fp: fp, in: b.plain}
	b.records[fp] = b.plain.PushFront(i)
	return i
}

func (b *book) touch(now time.Time, el *list.Element) *item {
	b.latest = later(b.latest, now)
	i := el.Value.(*item)
	i.settle(now)
	return i
}

// reinsert moves a changed entry to the front of the list to which it now belongs.
func (b *book) place(i *item) {
	to := b.held
	if i.forgettable() {
		to = b.plain
	}
	i.in.Remove(b.records[i.fp])
	i.in = to
	b.records[i.fp] = to.PushFront(i)
}

// evict makes room for one record. It returns false if the oldest record must be retained.
func (b *book) evict(now time.Time) bool {
	el := b.plain.Back()
	if el == nil {
		el = b.held.Back()
		if i := b.touch(now, el); !i.forgettable() && !i.stale(now) {
			return false
		}
	}
	i := el.Value.(*item)
	i.in.Remove(el)
	delete(b.records, i.fp)
	b.counts.Evicted++
	return true
}
