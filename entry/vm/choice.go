package vm

import (
	"sync"

	"pistachioshore.dev/budget"
	"pistachioshore.dev/catalog"
)

// routeBudgets holds the hedge and retry budgets of the routes, which all their queries share.
type routeBudgets struct {
	mu      sync.Mutex
	byRoute map[string]*budget.Attempts
}

func newRouteBudgets() *routeBudgets {
	return &routeBudgets{byRoute: map[string]*budget.Attempts{}}
}

// of returns the budgets of a route.
func (b *routeBudgets) of(r *catalog.Route) *budget.Attempts {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.byRoute[r.Name]
	if !ok {
		a = budget.NewAttempts(r.HedgeBudget, r.RetryBudget)
		b.byRoute[r.Name] = a
	}
	return a
}

// apply sets the rates of a configuration and forgets the routes that it no longer has.
func (b *routeBudgets) apply(cfg *catalog.Config) {
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

// each calls fn for the budgets of every route that was used.
func (b *routeBudgets) each(fn func(route string, a *budget.Attempts)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, a := range b.byRoute {
		fn(name, a)
	}
}
