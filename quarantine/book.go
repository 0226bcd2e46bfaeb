package quarantine

import (
	"container/list"
	"time"
)

// item is a record with its place in the order of use.
type item struct {
	record
	fp uint64
	in *list.List
}

// book is the state of a table. Records that count no crash are in the plain list and make room
// for new ones; the others are in the held list. Both have the most recently used first.
type book struct {
	rules   *Settings
	counts  *Counts
	records map[uint64]*list.Element // of *item
	plain   *list.List
	held    *list.List
	latest  time.Time
}

// open returns the settled record of fp, a new one if there is none, or nil if the table is full.
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

// place puts the record first in the list that it belongs to after a change.
func (b *book) place(i *item) {
	to := b.held
	if i.forgettable() {
		to = b.plain
	}
	i.in.Remove(b.records[i.fp])
	i.in = to
	b.records[i.fp] = to.PushFront(i)
}

// evict makes room for one record; it reports false while the oldest one has to be kept.
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
