// Package waitlist decides the order in which requests that wait for the same slots are released, and which of them are
// refused. It has neither a clock nor a network: each call takes the current time.
package waitlist

import (
	"math"
	"slices"
	"time"
)

const (
	// maxWaiting bounds the requests of one list whatever limit the caller passes, because each call examines all of them.
	maxWaiting = 256

	// maxKinds bounds the kinds that are remembered while none of their requests waits.
	maxKinds = 64

	// intervalWeight is the weight of a new observation in the moving average of the time between two releases.
	intervalWeight = 0.2

	// defaultAgingStep applies if a request names none.
	defaultAgingStep = 100 * time.Millisecond
)

// Reason is the reason why a request is refused.
type Reason uint8

// Reasons of a refusal.
const (
	None      Reason = iota
	Full             // the list is full of requests that are at least as urgent
	Displaced        // a more urgent request has taken its place in a full list
	Deadline         // it can no longer meet its deadline

	reasonCount
)

// String returns the name of the reason.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return [reasonCount]string{"none", "full", "displaced", "deadline"}[r]
}

// Request holds what the order depends on.
type Request struct {
	Kind     string        // requests of one kind and priority age together
	Priority int           // 0 is the most urgent
	Target   time.Time     // time up to which an answer has its full value
	Deadline time.Time     // time after which an answer has no value
	Work     time.Duration // expected time from the release to the answer
	// AgingStep is the time without a release after which requests of the kind count as one priority more urgent.
	AgingStep time.Duration
}

// latestStart returns the last time at which a release can still meet the deadline.
func (r Request) latestStart() time.Time {
	return r.Deadline.Add(-r.Work)
}

// late reports whether an answer can no longer come before the target.
func (r Request) late(now time.Time) bool {
	return now.Add(r.Work).After(r.Target)
}

// Waiter is a waiting request.
type Waiter[T any] struct {
	Request
	Item T

	since time.Time
	seq   uint64
}

// Since returns the time at which the request began to wait.
func (w *Waiter[T]) Since() time.Time {
	return w.since
}

// kindKey identifies requests that age together.
type kindKey struct {
	name     string
	priority int
}

// kindState records since when the requests of a kind have been asking without a release.
type kindState struct {
	lackingSince time.Time // first request since the last release, or that release if others waited; zero if there is none
	askedAt      time.Time // last request
	step         time.Duration
}

// kindRetention is the time, in aging steps, for which a kind without waiting requests is remembered.
const kindRetention = 10

// List is the list of requests that wait for the same slots. It is not safe for concurrent use.
type List[T any] struct {
	waiters    []*Waiter[T]
	kinds      map[kindKey]kindState
	seq        uint64
	step       time.Duration // longest aging step of the kinds; one for all, so that a stall of all kinds changes no order
	interval   time.Duration // moving average of the time between two releases
	initial    time.Duration // interval before any was observed
	releasedAt time.Time     // last release after which requests went on waiting; zero if none did
}

// New returns an empty list. The interval is the expected time between two releases before any was observed.
func New[T any](interval time.Duration) *List[T] {
	return &List[T]{kinds: map[kindKey]kindState{}, interval: interval, initial: interval}
}

// Len returns the number of waiting requests.
func (l *List[T]) Len() int {
	return len(l.waiters)
}

// Decision is what becomes of an offered request.
type Decision[T any] struct {
	Waiter     *Waiter[T]    // nil if the request is refused
	Refused    Reason        // None if it waits
	RetryAfter time.Duration // estimated time until a request like it would be released; for a refused request
	Displaced  *Waiter[T]    // request that must be refused because this one has taken its place; nil if there is none
}

// Offer adds a request to a list of at most limit requests, or refuses it. A full list refuses the least urgent of its
// requests and the new one.
func (l *List[T]) Offer(now time.Time, r Request, item T, limit int) Decision[T] {
	l.noteDemand(now, r)
	l.seq++
	w := &Waiter[T]{Request: r, Item: item, since: now, seq: l.seq}
	wait := l.wait(now, w)
	if now.Add(wait).After(r.latestStart()) {
		return Decision[T]{Refused: Deadline, RetryAfter: wait}
	}
	var displaced *Waiter[T]
	if len(l.waiters) >= min(max(limit, 1), maxWaiting) {
		last := l.waiters[0]
		for _, o := range l.waiters[1:] {
			if l.before(now, last, o) {
				last = o
			}
		}
		if !l.before(now, w, last) {
			return Decision[T]{Refused: Full, RetryAfter: wait}
		}
		l.Remove(last)
		displaced = last
	}
	if len(l.waiters) == 0 {
		l.releasedAt = time.Time{}
		l.interval = min(l.interval, l.initial) // a stall before must not refuse all that come after it
	}
	l.waiters = append(l.waiters, w)
	return Decision[T]{Waiter: w, Displaced: displaced}
}

// Next removes and returns the request to release now, or nil if there is none. Requests that are not ready stay in the
// list, and so do those that can no longer meet their deadlines, which Expire returns.
func (l *List[T]) Next(now time.Time, ready func(item T) bool) *Waiter[T] {
	var first *Waiter[T]
	for _, w := range l.waiters {
		if !now.After(w.latestStart()) && ready(w.Item) && (first == nil || l.before(now, w, first)) {
			first = w
		}
	}
	if first != nil {
		l.Remove(first)
		l.noteRelease(now, first)
	}
	return first
}

// Expire removes and returns the requests that can no longer meet their deadlines.
func (l *List[T]) Expire(now time.Time) []*Waiter[T] {
	var expired []*Waiter[T]
	l.waiters = slices.DeleteFunc(l.waiters, func(w *Waiter[T]) bool {
		late := now.After(w.latestStart())
		if late {
			expired = append(expired, w)
		}
		return late
	})
	return expired
}

// NextExpiry returns the earliest time after which Expire returns a request, or the zero time if none waits.
func (l *List[T]) NextExpiry() time.Time {
	var next time.Time
	for _, w := range l.waiters {
		if at := w.latestStart(); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// Items returns the items of all waiting requests in no particular order.
func (l *List[T]) Items() []T {
	items := make([]T, 0, len(l.waiters))
	for _, w := range l.waiters {
		items = append(items, w.Item)
	}
	return items
}

// Remove removes a request and reports whether it was waiting.
func (l *List[T]) Remove(w *Waiter[T]) bool {
	i := slices.Index(l.waiters, w)
	if i < 0 {
		return false
	}
	l.waiters = slices.Delete(l.waiters, i, i+1)
	return true
}

// Wait returns the estimated time until a new request like r would be released.
func (l *List[T]) Wait(now time.Time, r Request) time.Duration {
	return l.wait(now, &Waiter[T]{Request: r, since: now, seq: math.MaxUint64})
}

func (l *List[T]) wait(now time.Time, w *Waiter[T]) time.Duration {
	ahead := 0
	for _, o := range l.waiters {
		if l.before(now, o, w) {
			ahead++
		}
	}
	return time.Duration(ahead) * l.interval
}

// before reports whether a is released before b: by priority after aging, then those that can meet their targets, then by
// the time left to the target, then by arrival.
func (l *List[T]) before(now time.Time, a, b *Waiter[T]) bool {
	if la, lb := l.level(now, a.Request), l.level(now, b.Request); la != lb {
		return la < lb
	}
	if la, lb := a.late(now), b.late(now); la != lb {
		return lb
	}
	if !a.Target.Equal(b.Target) {
		return a.Target.Before(b.Target)
	}
	return a.seq < b.seq
}

// level returns the priority of a request less one for each aging step for which no request of its kind was released. It
// may become negative, so that a kind which has waited long enough precedes any other one.
func (l *List[T]) level(now time.Time, r Request) int {
	k, ok := l.kinds[kindKey{r.Kind, r.Priority}]
	if !ok || k.lackingSince.IsZero() {
		return r.Priority
	}
	return r.Priority - int(max(now.Sub(k.lackingSince), 0)/l.step)
}

// noteDemand records that a request of a kind asks to be released. A refused request counts too: otherwise a kind that is
// always refused because the list is full would never age.
func (l *List[T]) noteDemand(now time.Time, r Request) {
	key := kindKey{r.Kind, r.Priority}
	k, ok := l.kinds[key]
	step := r.AgingStep
	if step <= 0 {
		step = defaultAgingStep
	}
	if !ok || k.lackingSince.IsZero() || (now.Sub(k.askedAt) > kindRetention*step && !l.waits(key)) {
		k.lackingSince = now
	}
	k.askedAt, k.step = now, step
	l.kinds[key] = k
	if len(l.kinds) > maxKinds {
		l.forgetOldest(key)
	}
	l.step = step
	for other, k := range l.kinds {
		if now.Sub(k.askedAt) > kindRetention*k.step && !l.waits(other) {
			delete(l.kinds, other)
			continue
		}
		l.step = max(l.step, k.step)
	}
}

func (l *List[T]) waits(key kindKey) bool {
	return slices.ContainsFunc(l.waiters, func(w *Waiter[T]) bool { return kindKey{w.Kind, w.Priority} == key })
}

// forgetOldest removes the kind that has not asked for longest, apart from the one to keep.
func (l *List[T]) forgetOldest(keep kindKey) {
	var oldest kindKey
	var at time.Time
	for key, k := range l.kinds {
		if key != keep && (at.IsZero() || k.askedAt.Before(at)) {
			oldest, at = key, k.askedAt
		}
	}
	delete(l.kinds, oldest)
}

// noteRelease updates the average interval and the age of the kind.
func (l *List[T]) noteRelease(now time.Time, w *Waiter[T]) {
	if !l.releasedAt.IsZero() {
		gap := float64(max(now.Sub(l.releasedAt), 0))
		l.interval = time.Duration(float64(l.interval)*(1-intervalWeight) + gap*intervalWeight)
	}
	l.releasedAt = now
	key := kindKey{w.Kind, w.Priority}
	if k, ok := l.kinds[key]; ok {
		k.lackingSince = time.Time{}
		if l.waits(key) {
			k.lackingSince = now
		}
		l.kinds[key] = k
	}
}
