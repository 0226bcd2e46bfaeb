package forward

import (
	"pistachioshore.dev/budget"
	"pistachioshore.dev/gather"
	"pistachioshore.dev/table"
)

// retryBudgets are the budgets of this VM for retries and hedges, one per service.
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

// setBurst sets the maximum number of tokens of each service.
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

// Earn credits the service for its first attempts.
func (b *budgets) Earn(service string, primaries int) {
	b.of(service).Earn(primaries)
}

// AllowHedge spends a token, unless only the tokens reserved for retries are left.
func (b *budgets) AllowHedge(service string) bool {
	return b.of(service).TakeAbove(hedgeReserve)
}

// AllowRetry spends a token if there is one.
func (b *budgets) AllowRetry(service string) bool {
	return b.of(service).Take()
}

// levels returns the remaining tokens of each service.
func (b *budgets) levels() map[string]float64 {
	return table.WithResult(b.state, func(s *budgetState) map[string]float64 {
		levels := make(map[string]float64, len(s.byService))
		for service, t := range s.byService {
			levels[service] = t.Level()
		}
		return levels
	})
}

// Level returns the remaining tokens of a service.
func (b *budgets) Level(service string) float64 {
	return b.of(service).Level()
}
