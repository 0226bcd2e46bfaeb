package vm

import (
	"sync"

	"pistachioshore.dev/budget"
	"pistachioshore.dev/catalog"
)

// routeBudgets holds the hedge and retry budgets of each route, shared by all its queries.
type routeBudgets struct {
	mu      sync.Mutex
	byRoute map[string]*budget.Attempts
}

func newRouteBudgets() *routeBudgets {
	return &routeBudgets{byRoute: map[string]*budget.Attempts{}}
}

// forRoute returns the budgets of a route, creating them on first use.
func (b *routeBudgets) forRoute(r *catalog.Route) *budget.Attempts {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.byRoute[r.Name]
	if !ok {
		a = budget.NewAttempts(r.HedgeBudget, r.RetryBudget)
		b.byRoute[r.Name] = a
	}
	return a
}

// applyConfig updates the budgets to a new configuration and removes those of deleted routes.
func (b *routeBudgets) applyConfig(cfg *catalog.Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, a := range b.byRoute {
		r, ok := cfg.Route(name)
		if !ok {
			delete(b.byRoute, name)
			continue
		}
		a.SetShares(r.HedgeBudget, r.RetryBudget)
	}
}

// each calls fn for every route that has been used, holding the lock.
func (b *routeBudgets) each(fn func(route string, a *budget.Attempts)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, a := range b.byRoute {
		fn(name, a)
	}
}
