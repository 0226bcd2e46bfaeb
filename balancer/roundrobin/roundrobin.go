// Package roundrobin chooses the candidates in turn; it serves as the baseline of measurements.
package roundrobin

import (
	"math/rand/v2"
	"time"

	"pistachioshore.dev/balancer"
	"pistachioshore.dev/table"
)

// maxSets bounds the sets of candidates whose turn is remembered, and setAge the time for which
// an unused one is.
const (
	maxSets = 1 << 16
	setAge  = 10 * time.Minute
)

// Policy keeps a turn for each set of candidates, named by its first one. A single turn for all
// would give a shard the same replica in each query when the number of shards is even.
type Policy[T comparable] struct {
	turns *table.Guarded[*table.TTLMap[T, int]]
}

var _ balancer.Policy[string] = (*Policy[string])(nil)

// New returns a policy that starts with the first candidates.
func New[T comparable]() *Policy[T] {
	return &Policy[T]{turns: table.NewGuarded(table.RankBalancer, table.NewTTLMap[T, int](maxSets))}
}

// Choose returns the next candidate.
func (p *Policy[T]) Choose(now time.Time, _ *rand.Rand, candidates []T) T {
	return table.WithResult(p.turns, func(turns **table.TTLMap[T, int]) T {
		turn, _ := (*turns).Get(candidates[0], now)
		(*turns).Put(candidates[0], turn+1, now.Add(setAge))
		return candidates[turn%len(candidates)]
	})
}

// StartAttempt does nothing, because the turn does not depend on what is in flight.
func (p *Policy[T]) StartAttempt(time.Time, T) {}

// Observe does nothing, because the turn does not depend on outcomes.
func (p *Policy[T]) Observe(time.Time, T, balancer.Observation) {}
