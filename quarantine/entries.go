package quarantine

import (
	"container/list"
	"time"
)

// entry is a record together with its position in the order of use.
type entry struct {
	record
	fp   uint64
	list *list.List
}

// tableState is the state of a table. Records without suspected crashes are in the evictable list and make room for
// new ones. The others are in the retained list. Both lists have the most recently used record first.
type tableState struct {
	settings  *Settings
	counts    *Counts
	records   map[uint64]*list.Element // of *entry
	evictable *list.List
	retained  *list.List
	latest    time.Time
}

// getOrCreate returns the up-to-date entry of fp, which it creates if there is none, or nil if the table is full.
func (s *tableState) getOrCreate(now time.Time, fp uint64) *entry {
	if el, ok := s.records[fp]; ok {
		return s.refresh(now, el)
	}
	s.latest = later(s.latest, now)
	if len(s.records) >= s.settings.MaxFingerprints && !s.evict(now) {
		return nil
	}
	e := &entry{record: record{settings: s.settings, counts: s.counts}, fp: fp, list: s.evictable}
	s.records[fp] = s.evictable.PushFront(e)
	return e
}

// refresh returns the entry of a list element after it has advanced the record to now.
func (s *tableState) refresh(now time.Time, el *list.Element) *entry {
	s.latest = later(s.latest, now)
	e := el.Value.(*entry)
	e.advance(now)
	return e
}

// reinsert moves a changed entry to the front of the list to which it now belongs.
func (s *tableState) reinsert(e *entry) {
	to := s.retained
	if e.evictable() {
		to = s.evictable
	}
	e.list.Remove(s.records[e.fp])
	e.list = to
	s.records[e.fp] = to.PushFront(e)
}

// evict makes room for one record. It returns false if the oldest record must be retained.
func (s *tableState) evict(now time.Time) bool {
	el := s.evictable.Back()
	if el == nil {
		el = s.retained.Back()
		if e := s.refresh(now, el); !e.evictable() && !e.expired(now) {
			return false
		}
	}
	e := el.Value.(*entry)
	e.list.Remove(el)
	delete(s.records, e.fp)
	s.counts.Evicted++
	return true
}
