package forward

import (
	"pistachioshore.dev/aggregator"
	"pistachioshore.dev/budget"
	"pistachioshore.dev/gather"
	"pistachioshore.dev/replica"
	"pistachioshore.dev/route"
	"pistachioshore.dev/table"
)

// retryBudgets are the budgets of this VM for retries and hedges, one per service.
type retryBudgets struct {
	state *table.Guarded[retryBudgetState]
}

type retryBudgetState struct {
	ratio     float64
	burst     float64
	byService map[string]*budget.TokenBucket
}

var (
	_ gather.Budget          = (*retryBudgets)(nil)
	_ gather.ReservingBudget = (*retryBudgets)(nil)
)

func newRetryBudgets(ratio float64) *retryBudgets {
	return &retryBudgets{state: table.NewGuarded(table.RankBudget, retryBudgetState{ratio: ratio, byService: map[string]*budget.TokenBucket{}})}
}

// setBurst sets the maximum number of tokens of each service.
func (b *retryBudgets) setBurst(burst float64) {
	b.state.With(func(s *retryBudgetState) {
		s.burst = burst
		for _, t := range s.byService {
			t.SetBurst(burst)
		}
	})
}

func (b *retryBudgets) forService(service string) *budget.TokenBucket {
	return table.WithResult(b.state, func(s *retryBudgetState) *budget.TokenBucket {
		t, ok := s.byService[service]
		if !ok {
			t = budget.NewTokenBucket(s.ratio, int(s.burst/2)) // a VM that has just started may retry
			t.SetBurst(s.burst)
			s.byService[service] = t
		}
		return t
	})
}

// Credit adds the tokens that the service earns with its first attempts.
func (b *retryBudgets) Credit(service string, firstAttempts int) {
	b.forService(service).Credit(firstAttempts)
}

// AllowHedge spends a token, unless only the tokens reserved for retries are left.
func (b *retryBudgets) AllowHedge(service string) bool {
	return b.forService(service).TakeAbove(hedgeTokenReserve)
}

// AllowRetry spends a token if there is one.
func (b *retryBudgets) AllowRetry(service string) bool {
	return b.forService(service).Take()
}

// AllowOptionalHedge spends a token, unless only the tokens reserved for other shards and for retries are left.
func (b *retryBudgets) AllowOptionalHedge(service string) bool {
	return b.forService(service).TakeAbove(hedgeTokenReserve + optionalTokenReserve)
}

// AllowOptionalRetry spends a token, unless only the tokens reserved for other shards are left.
func (b *retryBudgets) AllowOptionalRetry(service string) bool {
	return b.forService(service).TakeAbove(optionalTokenReserve)
}

// levels returns the remaining tokens of each service.
func (b *retryBudgets) levels() map[string]float64 {
	return table.WithResult(b.state, func(s *retryBudgetState) map[string]float64 {
		levels := make(map[string]float64, len(s.byService))
		for service, t := range s.byService {
			levels[service] = t.Level()
		}
		return levels
	})
}

// Level returns the remaining tokens of a service.
func (b *retryBudgets) Level(service string) float64 {
	return b.forService(service).Level()
}

// maxConnections returns the number of connections that this VM may open to one upstream of the service.
func (q *query) maxConnections(s route.Service) int {
	if s.MaxConnections <= 0 {
		return defaultMaxConnections
	}
	shares := table.WithResult(q.vm.state, func(st *vmState) aggregator.LimitShares { return st.shares })
	share := shares.SingleUpstream()
	if q.route.Sharded() {
		share = shares.ShardedQuery()
	}
	return max(int(float64(s.MaxConnections)*share), 1)
}

// limitShare returns the fraction of the request limits of upstreams that this VM may use for queries of this kind.
func (q *query) limitShare() replica.LimitShare {
	shares := table.WithResult(q.vm.state, func(st *vmState) aggregator.LimitShares { return st.shares })
	sameZone, otherZone := shares.Requests(q.route.Sharded())
	return replica.LimitShare{SameZone: sameZone, OtherZone: otherZone}
}

// retryBudgets returns the budgets that the request's retries and hedges draw from.
func (q *query) retryBudgets() *retryBudgets {
	if q.route.Sharded() {
		return q.vm.shardBudgets
	}
	return q.vm.budgets
}
