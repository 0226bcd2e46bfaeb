package forward

import (
	"pistachioshore.dev/budget"
	"pistachioshore.dev/gather"
	"pistachioshore.dev/table"
)

// budgets hold the attempts beyond the first that this VM may send to each service.
type budgets struct {
	state *table.Guarded[budgetState]
}

type budgetState struct {
	share     float64
	burst     float64
	byService map[string]*budget.TokenBucket
}

var _ gather.Budget = (*budgets)(nil)

func newBudgets(share float64) *budgets {
	return &budgets{state: table.NewGuarded(table.RankBudget, budgetState{share: share, byService: map[string]*budget.TokenBucket{}})}
}

// setBurst sets how many tokens a service may have saved.
func (b *budgets) setBurst(burst float64) {
	b.state.With(func(s *budgetState) {
		s.burst = burst
		for _, t := range s.byService {
			t.SetBurst(burst)
		}
	})
}

func (b *budgets) of(service string) *budget.TokenBucket {
	return table.WithResult(b.state, func(s *budgetState) *budget.TokenBucket {
		t, ok := s.byService[service]
		if !ok {
			t = budget.NewTokenBucket(s.share, int(s.burst/2)) // a VM that has just started may retry
			t.SetBurst(s.burst)
			s.byService[service] = t
		}
		return t
	})
}

// Earn notes requests for a service.
func (b *budgets) Earn(service string, primaries int) {
	b.of(service).Earn(primaries)
}

// AllowHedge spends a token unless it is one of those that are left to retries.
func (b *budgets) AllowHedge(service string) bool {
	return b.of(service).TakeAbove(hedgeReserve)
}

// AllowRetry spends a token.
func (b *budgets) AllowRetry(service string) bool {
	return b.of(service).Take()
}

// levels returns the tokens left for each service.
func (b *budgets) levels() map[string]float64 {
	return table.WithResult(b.state, func(s *budgetState) map[string]float64 {
		levels := make(map[string]float64, len(s.byService))
		for service, t := range s.byService {
			levels[service] = t.Level()
		}
		return levels
	})
}

// Level returns the tokens left for a service.
func (b *budgets) Level(service string) float64 {
	return b.of(service).Level()
}
