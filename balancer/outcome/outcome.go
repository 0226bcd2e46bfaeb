// Package outcome implements peak-EWMA balancing with power of two choices, based on the observed
// latency and failures of candidates.
package outcome

import (
	"math/rand/v2"
	"slices"
	"time"

	"pistachioshore.dev/balancer"
	"pistachioshore.dev/table"
)

// Policy chooses the cheaper of two random candidates. The cost is the estimated latency weighted by
// the attempts in flight; the reported load only breaks ties. Consecutive failures eject a candidate
// for a time that grows with each ejection, but at least half of the candidates stay eligible for each
// choice.
type Policy[T comparable] struct {
	stats *table.Guarded[statsTable[T]]
}

// statsTable holds the statistics of the recently used candidates.
type statsTable[T comparable] struct {
	byCandidate *table.TTLMap[T, *candidateStats]
}

var _ balancer.Policy[string] = (*Policy[string])(nil)

// New returns a policy without any observations.
func New[T comparable]() *Policy[T] {
	s := statsTable[T]{byCandidate: table.NewTTLMap[T, *candidateStats](maxCandidates)}
	return &Policy[T]{stats: table.NewGuarded(table.RankBalancer, s)}
}

// Choose returns the cheaper of two random eligible candidates.
func (p *Policy[T]) Choose(now time.Time, r *rand.Rand, candidates []T) T {
	return table.WithResult(p.stats, func(s *statsTable[T]) T {
		eligible := s.eligible(now, candidates)
		if len(eligible) == 1 {
			return eligible[0]
		}
		i, j := balancer.RandomPair(r, len(eligible))
		if s.get(now, eligible[j]).cheaper(now, s.get(now, eligible[i])) {
			return eligible[j]
		}
		return eligible[i]
	})
}

// StartAttempt counts an attempt to the candidate as in flight.
func (p *Policy[T]) StartAttempt(now time.Time, candidate T) {
	p.stats.With(func(s *statsTable[T]) { s.getForUpdate(now, candidate).startAttempt(now) })
}

// Observe records the outcome of an attempt to the candidate.
func (p *Policy[T]) Observe(now time.Time, candidate T, o balancer.Observation) {
	p.stats.With(func(s *statsTable[T]) { s.getForUpdate(now, candidate).observe(now, o) })
}

// eligible returns the candidates that are not ejected. If these are fewer than half, it adds the
// candidates whose ejection ends first.
func (s *statsTable[T]) eligible(now time.Time, candidates []T) []T {
	ejected := func(c T) bool { return now.Before(s.get(now, c).ejectedUntil) }
	if !slices.ContainsFunc(candidates, ejected) {
		return candidates
	}
	sorted := slices.Clone(candidates)
	slices.SortStableFunc(sorted, func(a, b T) int {
		return s.get(now, a).ejectedUntil.Compare(s.get(now, b).ejectedUntil)
	})
	n := slices.IndexFunc(sorted, ejected) // candidates that are not ejected sort first
	return sorted[:max(n, (len(sorted)+1)/2)]
}

// get returns the statistics of the candidate for reading; they are zero for an unknown one.
func (s *statsTable[T]) get(now time.Time, candidate T) *candidateStats {
	if st, ok := s.byCandidate.Get(candidate, now); ok {
		return st
	}
	return &candidateStats{}
}

// getForUpdate returns the statistics of the candidate for an update and extends their lifetime.
func (s *statsTable[T]) getForUpdate(now time.Time, candidate T) *candidateStats {
	st := s.get(now, candidate)
	s.byCandidate.Put(candidate, st, now.Add(idleTTL))
	return st
}
