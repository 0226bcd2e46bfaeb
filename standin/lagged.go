package standin

import "time"

// History is a value that can be read as it was some time ago; it is not safe for concurrent use.
type History[T any] struct {
	step   time.Duration // samples closer together than this replace one another
	keep   time.Duration
	values []sample[T]
}

type sample[T any] struct {
	at    time.Time
	value T
}

// NewHistory returns a value that remembers keep of its past in samples at least step apart.
func NewHistory[T any](keep, step time.Duration) *History[T] {
	return &History[T]{keep: keep, step: step}
}

// Put sets the value from now on.
func (l *History[T]) Put(now time.Time, value T) {
	n := len(l.values)
	if n > 1 && now.Sub(l.values[n-2].at) < l.step {
		l.values[n-1].value = value
		return
	}
	l.values = append(l.values, sample[T]{now, value})
	drop := 0
	for drop < len(l.values)-1 && now.Sub(l.values[drop+1].at) > l.keep {
		drop++
	}
	l.values = l.values[drop:]
}

// At returns the value that held at a time, or the oldest one that is remembered.
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
