package standin

// BoundedLog is a list with a length limit that counts what it could not hold; it is not safe for concurrent use.
type BoundedLog[T any] struct {
	limit   int
	items   []T
	dropped int
}

// NewBoundedLog returns a list of at most limit items.
func NewBoundedLog[T any](limit int) *BoundedLog[T] {
	return &BoundedLog[T]{limit: limit}
}

// Add appends an item and returns its index, or -1 if the list is full.
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

// Items returns a copy of the items in the order of their addition; it is never nil.
func (l *BoundedLog[T]) Items() []T {
	return append([]T{}, l.items...)
}

// Dropped returns the number of items that were not kept.
func (l *BoundedLog[T]) Dropped() int {
	return l.dropped
}
