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
func (h *History[T]) Put(now time.Time, value T) {
	n := len(h.values)
	if n > 1 && now.Sub(h.values[n-2].at) < h.minInterval {
		h.values[n-1].value = value
		return
	}
	h.values = append(h.values, sample[T]{now, value})
	drop := 0
	for drop < len(h.values)-1 && now.Sub(h.values[drop+1].at) > h.retention {
		drop++
	}
	h.values = h.values[drop:]
}

// At returns the value at time t, or the oldest one kept if t is earlier.
func (h *History[T]) At(t time.Time) T {
	var zero T
	if len(h.values) == 0 {
		return zero
	}
	for i := len(h.values) - 1; i > 0; i-- {
		if !h.values[i].at.After(t) {
			return h.values[i].value
		}
	}
	return h.values[0].value
}
