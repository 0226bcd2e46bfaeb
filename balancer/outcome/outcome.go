// Package outcome chooses by the observed times of candidates: peak-EWMA with power of two choices.
package outcome

import (
	"math/rand/v2"
	"slices"
	"time"

	"pistachioshore.dev/balancer"
	"pistachioshore.dev/table"
)

// Policy takes the cheaper of two random candidates, by estimated time and attempts in flight.
// Reported load decides only between equal costs. Failures in a row eject a candidate for a growing
// time, but at least half of the candidates of each choice stay eligible.
type Policy[T comparable] struct {
	stats *table.Guarded[stats[T]]
}

type stats[T comparable] struct {
	recent *table.TTLMap[T, *stat]
}

var _ balancer.Policy[string] = (*Policy[string])(nil)

// New returns a policy that has seen no outcomes.
func New[T comparable]() *Policy[T] {
	s := stats[T]{recent: table.NewTTLMap[T, *stat](maxCandidates)}
	return &Policy[T]{stats: table.NewGuarded(table.RankBalancer, s)}
}

// Choose returns the cheaper of two random eligible candidates.
func (p *Policy[T]) Choose(now time.Time, r *rand.Rand, candidates []T) T {
	return table.WithResult(p.stats, func(s *stats[T]) T {
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

// StartAttempt counts an attempt at the candidate as in flight.
func (p *Policy[T]) StartAttempt(now time.Time, candidate T) {
	p.stats.With(func(s *stats[T]) { s.open(now, candidate).start(now) })
}

// Observe takes how an attempt at the candidate ended.
func (p *Policy[T]) Observe(now time.Time, candidate T, o balancer.Observation) {
	p.stats.With(func(s *stats[T]) { s.open(now, candidate).observe(now, o) })
}

// eligible returns the candidates that are not ejected. If they are fewer than half, those whose
// ejection ends first are added.
func (s *stats[T]) eligible(now time.Time, candidates []T) []T {
	ejected := func(c T) bool { return now.Before(s.get(now, c).ejectedUntil) }
	if !slices.ContainsFunc(candidates, ejected) {
		return candidates
	}
	sorted := slices.Clone(candidates)
	slices.SortStableFunc(sorted, func(a, b T) int {
		return s.get(now, a).ejectedUntil.Compare(s.get(now, b).ejectedUntil)
	})
	n := slices.IndexFunc(sorted, ejected) // those that are not ejected have the earliest times
	return sorted[:max(n, (len(sorted)+1)/2)]
}

// get returns what is known of the candidate; the result is not changed.
func (s *stats[T]) get(now time.Time, candidate T) *stat {
	if st, ok := s.recent.Get(candidate, now); ok {
		return st
	}
	return &stat{}
}

func (s *stats[T]) open(now time.Time, candidate T) *stat {
	st := s.get(now, candidate)
	s.recent.Put(candidate, st, now.Add(idleAge))
	return st
}
