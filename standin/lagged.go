package standin

import "time"

// History keeps the recent past of a value, so that it can be read with a delay; it is not safe for concurrent use.
type History[T any] struct {
	minInterval time.Duration // minimum time between samples; a value set sooner replaces the last one
	retention   time.Duration
	values      []sample[T]
}

type sample[T any] struct {
	at    time.Time
	value T
}

// NewHistory returns a history that covers the last retention in samples at least minInterval apart.
func NewHistory[T any](retention, minInterval time.Duration) *History[T] {
	return &History[T]{retention: retention, minInterval: minInterval}
}

// Put sets the current value.
func (l *History[T]) Put(now time.Time, value T) {
	n := len(l.values)
	if n > 1 && now.Sub(l.values[n-2].at) < l.minInterval {
		l.values[n-1].value = value
		return
	}
	l.values = append(l.values, sample[T]{now, value})
	drop := 0
	for drop < len(l.values)-1 && now.Sub(l.values[drop+1].at) > l.retention {
		drop++
	}
	l.values = l.values[drop:]
}

// At returns the value at time t, or the oldest one kept if t is earlier.
func (l *History[T]) At(t time.Time) T {
	var zero T
	if len(l.values) == 0 {
		return zero
	}
	for i := len(l.values) - 1; i > 0; i-- {
		if !l.values[i].at.After(t) {
			return l.values[i].value
		}
	}
	return l.values[0].value
}
