package table

import (
	"container/list"
	"time"
)

// TTLMap is a map with a size limit whose entries expire. It is not safe for concurrent use.
type TTLMap[K comparable, V any] struct {
	limit int
	items map[K]*list.Element
	order *list.List // most recently written first
}

type ttlItem[K comparable, V any] struct {
	key     K
	value   V
	expires time.Time
}

// NewTTLMap returns a map that holds at most limit entries. When it is full, it evicts the entry that was written
// least recently.
func NewTTLMap[K comparable, V any](limit int) *TTLMap[K, V] {
	return &TTLMap[K, V]{limit: limit, items: map[K]*list.Element{}, order: list.New()}
}

// Len returns the number of entries, including expired ones that have not been removed yet.
func (m *TTLMap[K, V]) Len() int {
	return len(m.items)
}

// Put stores a value that expires at the given time.
func (m *TTLMap[K, V]) Put(key K, value V, expires time.Time) {
	if el, ok := m.items[key]; ok {
		el.Value = ttlItem[K, V]{key, value, expires}
		m.order.MoveToFront(el)
		return
	}
	m.items[key] = m.order.PushFront(ttlItem[K, V]{key, value, expires})
	if len(m.items) > m.limit {
		m.remove(m.order.Back())
	}
}

// Get returns the value of key if it has not expired at now.
func (m *TTLMap[K, V]) Get(key K, now time.Time) (V, bool) {
	var zero V
	el, ok := m.items[key]
	if !ok {
		return zero, false
	}
	it := el.Value.(ttlItem[K, V])
	if !now.Before(it.expires) {
		m.remove(el)
		return zero, false
	}
	return it.value, true
}

// Delete removes key.
func (m *TTLMap[K, V]) Delete(key K) {
	if el, ok := m.items[key]; ok {
		m.remove(el)
	}
}

// RemoveExpired removes the entries that have expired at now and returns their number.
func (m *TTLMap[K, V]) RemoveExpired(now time.Time) int {
	n := 0
	for el := m.order.Back(); el != nil; {
		prev := el.Prev()
		if !now.Before(el.Value.(ttlItem[K, V]).expires) {
			m.remove(el)
			n++
		}
		el = prev
	}
	return n
}

// Each calls fn for each entry that has not expired at now, starting with the most recently written.
func (m *TTLMap[K, V]) Each(now time.Time, fn func(key K, value V)) {
	for el := m.order.Front(); el != nil; el = el.Next() {
		it := el.Value.(ttlItem[K, V])
		if now.Before(it.expires) {
			fn(it.key, it.value)
		}
	}
}

func (m *TTLMap[K, V]) remove(el *list.Element) {
	delete(m.items, el.Value.(ttlItem[K, V]).key)
	m.order.Remove(el)
}
