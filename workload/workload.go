// Package workload learns how much work requests cost, by route and by what a request shows before it runs: its method
// and the size of its body. Work is the time that an upstream of usual speed takes for the request alone.
package workload

import (
	"math"
	"slices"
	"time"

	"pistachioshore.dev/table"
)

// Estimator tracks the expected work of each class. It is safe for concurrent use.
type Estimator struct {
	classes *table.Guarded[map[Class]*estimate]
}

// estimate is a moving average of observed work.
type estimate struct {
	mean       float64 // nanoseconds
	weight     float64 // weight of the observations that mean is made of
	samples    int     // observations, minSamples at most
	observedAt time.Time
}

// New returns an estimator without observations.
func New() *Estimator {
	return &Estimator{classes: table.NewGuarded(table.RankBalancer, map[Class]*estimate{})}
}

// Expect returns the expected work of a request of the class. A class with few observations is expected to resemble its
// route.
func (e *Estimator) Expect(c Class) time.Duration {
	return table.WithResult(e.classes, func(m *map[Class]*estimate) time.Duration { return expect(*m, c) })
}

func expect(m map[Class]*estimate, c Class) time.Duration {
	own, all := m[c], m[c.whole()]
	switch {
	case all == nil && own == nil:
		return defaultWork
	case all == nil || (own != nil && own.samples >= minSamples):
		return time.Duration(own.mean)
	case own == nil:
		return time.Duration(all.mean)
	default:
		return time.Duration((own.mean*own.weight + all.mean*routeWeight) / (own.weight + routeWeight))
	}
}

// Observe records the work that a request of the class took.
func (e *Estimator) Observe(now time.Time, c Class, work time.Duration) {
	if work <= 0 {
		return
	}
	e.classes.With(func(m *map[Class]*estimate) {
		entry(*m, c).observe(now, work)
		entry(*m, c.whole()).observe(now, work)
	})
}

// ObserveAtLeast records a request that was given up after it had taken the given work. The time is a lower bound, so it
// counts only if it is above the expectation.
func (e *Estimator) ObserveAtLeast(now time.Time, c Class, work time.Duration) {
	if work > e.Expect(c) {
		e.Observe(now, c, work)
	}
}

// entry returns the estimate of a class, which it creates if needed. Once maxClasses are remembered, a new class evicts
// the one that was observed least recently.
func entry(m map[Class]*estimate, c Class) *estimate {
	if known, ok := m[c]; ok {
		return known
	}
	if len(m) >= maxClasses {
		var oldest Class
		var at time.Time
		for k, known := range m {
			if at.IsZero() || known.observedAt.Before(at) {
				oldest, at = k, known.observedAt
			}
		}
		delete(m, oldest)
	}
	m[c] = &estimate{}
	return m[c]
}

func (s *estimate) observe(now time.Time, work time.Duration) {
	sample := float64(work)
	if s.weight > 0 {
		sample = min(sample, s.mean*maxSampleRatio)
		age := float64(max(now.Sub(s.observedAt), 0)) / float64(halfLife)
		s.weight = max(s.weight*math.Exp2(-age), min(s.weight, minDecayedWeight))
	}
	s.mean += (sample - s.mean) / (s.weight + 1)
	s.weight = min(s.weight+1, maxWeight)
	s.samples = min(s.samples+1, minSamples)
	s.observedAt = now
}

// Expectation is the expected work of one class.
type Expectation struct {
	Class Class
	Work  time.Duration
}

// Recent returns the expected work of the classes that were observed most recently, at most n.
func (e *Estimator) Recent(n int) []Expectation {
	return table.WithResult(e.classes, func(m *map[Class]*estimate) []Expectation {
		var list []Expectation
		for c := range *m {
			if c != c.whole() {
				list = append(list, Expectation{c, expect(*m, c)})
			}
		}
		slices.SortFunc(list, func(a, b Expectation) int { return (*m)[b.Class].observedAt.Compare((*m)[a.Class].observedAt) })
		return list[:min(n, len(list))]
	})
}
