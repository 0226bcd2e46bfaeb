package standin

// BoundedLog is an append-only list of limited length that counts the items it drops; it is not safe for concurrent use.
type BoundedLog[T any] struct {
	limit   int
	items   []T
	dropped int
}

// NewBoundedLog returns a log of at most limit items.
func NewBoundedLog[T any](limit int) *BoundedLog[T] {
	return &BoundedLog[T]{limit: limit}
}

// Add appends an item and returns its index, or -1 if the log is full.
func (l *BoundedLog[T]) Add(item T) int {
	if len(l.items) >= l.limit {
		l.dropped++
		return -1
	}
	l.items = append(l.items, item)
	return len(l.items) - 1
}

// At returns the item at an index that Add returned, or nil for -1.
func (l *BoundedLog[T]) At(index int) *T {
	if index < 0 {
		return nil
	}
	return &l.items[index]
}

// Items returns a copy of the items, oldest first; it is never nil.
func (l *BoundedLog[T]) Items() []T {
	return append([]T{}, l.items...)
}

// Dropped returns the number of items that did not fit.
func (l *BoundedLog[T]) Dropped() int {
	return l.dropped
}
