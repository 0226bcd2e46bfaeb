package table

import (
	"container/heap"
	"time"
)

// Entry is a queued item with its sort keys.
type Entry[T any] struct {
	Class    int // lower is more urgent
	Deadline time.Time
	Item     T // the value passed to Push

	seq   uint64
	index int
}

// Queue is a priority queue ordered by class, deadline and arrival. It is not safe for concurrent use.
type Queue[T any] struct {
	heap entryHeap[T]
	seq  uint64
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{}
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int {
	return len(q.heap)
}

// Push queues an item and returns its entry, which can be passed to Remove.
func (q *Queue[T]) Push(class int, deadline time.Time, item T) *Entry[T] {
	q.seq++
	e := &Entry[T]{Class: class, Deadline: deadline, Item: item, seq: q.seq}
	heap.Push(&q.heap, e)
	return e
}

// Peek returns the first entry, or nil if the queue is empty.
func (q *Queue[T]) Peek() *Entry[T] {
	if len(q.heap) == 0 {
		return nil
	}
	return q.heap[0]
}

// Pop removes and returns the first entry, or nil if the queue is empty.
func (q *Queue[T]) Pop() *Entry[T] {
	if len(q.heap) == 0 {
		return nil
	}
	return heap.Pop(&q.heap).(*Entry[T])
}

// Remove removes an entry and reports whether it was still queued.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	if e.index < 0 || e.index >= len(q.heap) || q.heap[e.index] != e {
		return false
	}
	heap.Remove(&q.heap, e.index)
	return true
}

// RemoveFunc removes the entries for which drop returns true, and returns them in queue order.
func (q *Queue[T]) RemoveFunc(drop func(e *Entry[T]) bool) []*Entry[T] {
	var kept, dropped entryHeap[T]
	for q.Len() > 0 {
		e := q.Pop()
		if drop(e) {
			dropped = append(dropped, e)
		} else {
			kept = append(kept, e)
		}
	}
	for _, e := range kept {
		heap.Push(&q.heap, e)
	}
	return dropped
}

// CountAhead returns the number of queued items that come before a new one with the given class and deadline.
func (q *Queue[T]) CountAhead(class int, deadline time.Time) int {
	n := 0
	for _, e := range q.heap {
		if e.Class < class || (e.Class == class && !e.Deadline.After(deadline)) {
			n++
		}
	}
	return n
}

type entryHeap[T any] []*Entry[T]

func (h entryHeap[T]) Len() int { return len(h) }

func (h entryHeap[T]) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.seq < b.seq
}

func (h entryHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *entryHeap[T]) Push(x any) {
	e := x.(*Entry[T])
	e.index = len(*h)
	*h = append(*h, e)
}

func (h *entryHeap[T]) Pop() any {
	old := *h
	n := len(old)
	e := old[n-1]
	old[n-1] = nil
	e.index = -1
	*h = old[:n-1]
	return e
}
