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
	maxCandidateSets = 1 << 16          // candidate sets with a remembered position
	positionTTL      = 10 * time.Minute // unused positions are forgotten after this time
)

// Policy cycles through the candidates. It keeps a separate position for each set of candidates,
// identified by the first one. With a single shared position and an even number of shards, each shard
// would get the same replica in every query.
type Policy[T comparable] struct {
	positions *table.Guarded[*table.TTLMap[T, int]]
}

var _ balancer.Policy[string] = (*Policy[string])(nil)

// New returns a policy that starts each set with its first candidate.
func New[T comparable]() *Policy[T] {
	return &Policy[T]{positions: table.NewGuarded(table.RankBalancer, table.NewTTLMap[T, int](maxCandidateSets))}
}

// Choose returns the next candidate of the set.
func (p *Policy[T]) Choose(now time.Time, _ *rand.Rand, candidates []T) T {
	return table.WithResult(p.positions, func(positions **table.TTLMap[T, int]) T {
		position, _ := (*positions).Get(candidates[0], now)
		(*positions).Put(candidates[0], position+1, now.Add(positionTTL))
		return candidates[position%len(candidates)]
	})
}

// StartAttempt does nothing: round robin ignores the attempts in flight.
func (p *Policy[T]) StartAttempt(time.Time, T) {}

// Observe does nothing: round robin ignores outcomes.
func (p *Policy[T]) Observe(time.Time, T, balancer.Observation) {}
