package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/demo/tier"
	"pistachioshore.dev/wire"
)

// Intervals between the look-ups, orders and configuration checks of one firm.
const (
	lookupEvery = 25 * time.Millisecond
	orderEvery  = 100 * time.Millisecond
	statusEvery = 250 * time.Millisecond
)

// filters holds the filters of look-ups; each look-up picks one at random.
var filters = []wire.Filter{
	{Kind: "part", Contains: "pump"},
	{Kind: "part", Contains: "pedal"},
	{Kind: "part", Contains: "kit"},
	{Kind: "job"},
	{Kind: "batch", Contains: "prism"},
	{Kind: "reject-mark"},
	{},
}

// workload generates the requests of one firm's callers.
type workload struct {
	tier   *tier.Tier
	client *tier.Client
	rand   *rand.Rand
	firm   string
}

func newWorkload(t *tier.Tier, firm string, seed uint64) *workload {
	return &workload{tier: t, client: tier.NewClient(t), rand: rand.New(rand.NewPCG(seed, uint64(len(firm)))), firm: firm}
}

// run sends look-ups and orders at fixed rates until ctx ends, then waits for the requests in flight.
func (w *workload) run(ctx context.Context) {
	lookups, orders := w.routes()
	var under sync.WaitGroup
	defer under.Wait()
	lookup, order, status := time.NewTicker(lookupEvery), time.NewTicker(orderEvery), time.NewTicker(statusEvery)
	defer lookup.Stop()
	defer order.Stop()
	defer status.Stop()
	call := context.WithoutCancel(ctx)
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-lookup.C:
			req := w.lookup(lookups, n)
			under.Go(func() { w.client.Query(call, w.client.PickVM(), w.caller(n), req) })
		case <-order.C:
			req := w.order(orders, n)
			under.Go(func() { w.client.Order(call, w.caller(n), req) })
		case <-status.C:
			w.tier.RecordRevisions()
		}
	}
}

func (w *workload) caller(n int) string {
	return fmt.Sprintf("%s-caller-%d", w.firm, n)
}

// routes returns the firm's routes: the idempotent ones serve look-ups, the others orders.
func (w *workload) routes() (lookups, orders []catalog.Route) {
	for _, r := range w.tier.Catalog().Routes {
		if r.Idempotent {
			lookups = append(lookups, r)
		} else {
			orders = append(orders, r)
		}
	}
	return lookups, orders
}

func (w *workload) lookup(routes []catalog.Route, n int) wire.QueryRequest {
	f := filters[w.rand.IntN(len(filters))]
	return wire.QueryRequest{Route: routes[n%len(routes)].Name, Filter: &f, Limit: 20 + w.rand.IntN(5)}
}

func (w *workload) order(routes []catalog.Route, n int) wire.OrderRequest {
	return wire.OrderRequest{
		Route: routes[0].Name, Operation: routes[0].Name, Key: fmt.Sprintf("%s-%d", w.firm, n), Quantity: 1,
	}
}
