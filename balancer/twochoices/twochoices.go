// Package twochoices chooses the less loaded of two random candidates by the load that they report.
package twochoices

import (
	"math/rand/v2"
	"time"

	"pistachioshore.dev/balancer"
	"pistachioshore.dev/table"
)

// maxCandidates bounds the candidates whose load is remembered, and loadAge the time for which a
// report is believed; a candidate without one counts as idle, so that it is tried again.
const (
	maxCandidates = 1 << 16
	loadAge       = 2 * time.Second
)

// Policy is power of two choices on reported load. It is misled by wrong reports.
type Policy[T comparable] struct {
	loads *table.Guarded[*table.TTLMap[T, int]]
}

var _ balancer.Policy[string] = (*Policy[string])(nil)

// New returns a policy that has seen no load.
func New[T comparable]() *Policy[T] {
	return &Policy[T]{loads: table.NewGuarded(table.RankBalancer, table.NewTTLMap[T, int](maxCandidates))}
}

// Choose returns the candidate with the lower reported load of two random ones.
func (p *Policy[T]) Choose(now time.Time, r *rand.Rand, candidates []T) T {
	if len(candidates) == 1 {
		return candidates[0]
	}
	i, j := balancer.RandomPair(r, len(candidates))
	a, b := candidates[i], candidates[j]
	return table.WithResult(p.loads, func(loads **table.TTLMap[T, int]) T {
		x, _ := (*loads).Get(a, now)
		y, _ := (*loads).Get(b, now)
		if y < x {
			return b
		}
		return a
	})
}

// StartAttempt does nothing, because only reported load counts.
func (p *Policy[T]) StartAttempt(time.Time, T) {}

// Observe takes the load that came with an answer.
func (p *Policy[T]) Observe(now time.Time, candidate T, o balancer.Observation) {
	if !o.OK && !o.Shed {
		return
	}
	p.loads.With(func(loads **table.TTLMap[T, int]) {
		(*loads).Put(candidate, o.ReportedLoad, now.Add(loadAge))
	})
}
