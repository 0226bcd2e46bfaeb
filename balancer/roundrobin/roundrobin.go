// Package roundrobin implements round-robin balancing. It is the baseline for measurements of the
// other policies.
package roundrobin

import (
	"math/rand/v2"
	"time"

	"pistachioshore.dev/balancer"
	"pistachioshore.dev/table"
)

const (
	maxSets = 1 << 16          // candidate sets with a remembered position
	setAge  = 10 * time.Minute // unused positions are forgotten after this time
)

// Policy cycles through the candidates. It keeps a separate position for each set of candidates,
// identified by the first one. With a single shared position and an even number of shards, each shard
// would get the same replica in every query.
type Policy[T comparable] struct {
	turns *table.Guarded[*table.TTLMap[T, int]]
}

var _ balancer.Policy[string] = (*Policy[string])(nil)

// New returns a policy that starts each set with its first candidate.
func New[T comparable]() *Policy[T] {
	return &Policy[T]{turns: table.NewGuarded(table.RankBalancer, table.NewTTLMap[T, int](maxSets))}
}

// Choose returns the next candidate of the set.
func (p *Policy[T]) Choose(now time.Time, _ *rand.Rand, candidates []T) T {
	return table.WithResult(p.turns, func(turns **table.TTLMap[T, int]) T {
		turn, _ := (*turns).Get(candidates[0], now)
		(*turns).Put(candidates[0], turn+1, now.Add(setAge))
		return candidates[turn%len(candidates)]
	})
}

// StartAttempt does nothing: round robin ignores the attempts in flight.
func (p *Policy[T]) StartAttempt(time.Time, T) {}

// Observe does nothing: round robin ignores outcomes.
func (p *Policy[T]) Observe(time.Time, T, balancer.Observation) {}
