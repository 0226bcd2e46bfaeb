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
	lookupInterval        = 25 * time.Millisecond
	orderInterval         = 100 * time.Millisecond
	revisionCheckInterval = 250 * time.Millisecond
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
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	lookupTicker, orderTicker, revisionTicker := time.NewTicker(lookupInterval), time.NewTicker(orderInterval),
		time.NewTicker(revisionCheckInterval)
	defer lookupTicker.Stop()
	defer orderTicker.Stop()
	defer revisionTicker.Stop()
	callCtx := context.WithoutCancel(ctx)
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-lookupTicker.C:
			req := w.newLookup(lookups, n)
			inFlight.Go(func() { w.client.Query(callCtx, w.client.PickVM(), w.callerName(n), req) })
		case <-orderTicker.C:
			req := w.newOrder(orders, n)
			inFlight.Go(func() { w.client.Order(callCtx, w.callerName(n), req) })
		case <-revisionTicker.C:
			w.tier.RecordRevisions()
		}
	}
}

func (w *workload) callerName(n int) string {
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

func (w *workload) newLookup(routes []catalog.Route, n int) wire.QueryRequest {
	f := filters[w.rand.IntN(len(filters))]
	return wire.QueryRequest{Route: routes[n%len(routes)].Name, Filter: &f, Limit: 20 + w.rand.IntN(5)}
}

func (w *workload) newOrder(routes []catalog.Route, n int) wire.OrderRequest {
	return wire.OrderRequest{
		Route: routes[0].Name, Operation: routes[0].Name, Key: fmt.Sprintf("%s-%d", w.firm, n), Quantity: 1,
	}
}
