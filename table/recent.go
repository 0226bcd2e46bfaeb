package table

import (
	"container/list"
	"time"
)

// TTLMap is a map with a size limit whose entries expire; it is not safe for concurrent use.
type TTLMap[K comparable, V any] struct {
	limit int
	items map[K]*list.Element
	order *list.List // most recently written first
}

type recentItem[K comparable, V any] struct {
	key     K
	value   V
	expires time.Time
}

// NewTTLMap returns a map that holds at most limit entries and drops the oldest write first.
func NewTTLMap[K comparable, V any](limit int) *TTLMap[K, V] {
	return &TTLMap[K, V]{limit: limit, items: map[K]*list.Element{}, order: list.New()}
}

// Len returns the number of entries, expired ones included until they are removed.
func (r *TTLMap[K, V]) Len() int {
	return len(r.items)
}

// Put stores a value until expires.
func (r *TTLMap[K, V]) Put(key K, value V, expires time.Time) {
	if el, ok := r.items[key]; ok {
		el.Value = recentItem[K, V]{key, value, expires}
		r.order.MoveToFront(el)
		return
	}
	r.items[key] = r.order.PushFront(recentItem[K, V]{key, value, expires})
	if len(r.items) > r.limit {
		r.remove(r.order.Back())
	}
}

// Get returns the value of key if it has not expired at now.
func (r *TTLMap[K, V]) Get(key K, now time.Time) (V, bool) {
	var zero V
	el, ok := r.items[key]
	if !ok {
		return zero, false
	}
	it := el.Value.(recentItem[K, V])
	if !now.Before(it.expires) {
		r.remove(el)
		return zero, false
	}
	return it.value, true
}

// Delete removes key.
func (r *TTLMap[K, V]) Delete(key K) {
	if el, ok := r.items[key]; ok {
		r.remove(el)
	}
}

// RemoveExpired removes the entries that have expired at now and returns how many there were.
func (r *TTLMap[K, V]) RemoveExpired(now time.Time) int {
	n := 0
	for el := r.order.Back(); el != nil; {
		prev := el.Prev()
		if !now.Before(el.Value.(recentItem[K, V]).expires) {
			r.remove(el)
			n++
		}
		el = prev
	}
	return n
}

// Each calls fn for every entry that has not expired at now, most recent write first.
func (r *TTLMap[K, V]) Each(now time.Time, fn func(key K, value V)) {
	for el := r.order.Front(); el != nil; el = el.Next() {
		it := el.Value.(recentItem[K, V])
		if now.Before(it.expires) {
			fn(it.key, it.value)
		}
	}
}

func (r *TTLMap[K, V]) remove(el *list.Element) {
	delete(r.items, el.Value.(recentItem[K, V]).key)
	r.order.Remove(el)
}
