// Package twochoices implements power-of-two-choices balancing on the load that upstreams report.
package twochoices

import (
	"math/rand/v2"
	"time"

	"pistachioshore.dev/balancer"
	"pistachioshore.dev/table"
)

const (
	// maxCandidates limits the number of candidates with a remembered load.
	maxCandidates = 1 << 16

	// loadTTL is how long a report stays valid. A candidate without a valid report counts as idle, so
	// that it is tried again.
	loadTTL = 2 * time.Second
)

// Policy chooses the candidate with the lower reported load out of two random ones. Wrong reports
// mislead it.
type Policy[T comparable] struct {
	loads *table.Guarded[*table.TTLMap[T, int]]
}

var _ balancer.Policy[string] = (*Policy[string])(nil)

// New returns a policy without any load reports.
func New[T comparable]() *Policy[T] {
	return &Policy[T]{loads: table.NewGuarded(table.RankBalancer, table.NewTTLMap[T, int](maxCandidates))}
}

// Choose returns the less loaded of two random candidates.
func (p *Policy[T]) Choose(now time.Time, r *rand.Rand, candidates []T) T {
	if len(candidates) == 1 {
		return candidates[0]
	}
	i, j := balancer.RandomPair(r, len(candidates))
	a, b := candidates[i], candidates[j]
	return table.WithResult(p.loads, func(loads **table.TTLMap[T, int]) T {
		loadA, _ := (*loads).Get(a, now)
		loadB, _ := (*loads).Get(b, now)
		if loadB < loadA {
			return b
		}
		return a
	})
}

// StartAttempt does nothing: only the reported load matters.
func (p *Policy[T]) StartAttempt(time.Time, T) {}

// Observe records the load reported with an answer or a shed request.
func (p *Policy[T]) Observe(now time.Time, candidate T, o balancer.Observation) {
	if !o.OK && !o.Shed {
		return
	}
	p.loads.With(func(loads **table.TTLMap[T, int]) {
		(*loads).Put(candidate, o.ReportedLoad, now.Add(loadTTL))
	})
}
