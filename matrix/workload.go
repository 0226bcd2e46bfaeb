package matrix

import (
	"context"
	"fmt"
	"sync"
	"time"

	"pistachioshore.dev/audit"
	"pistachioshore.dev/demo/tier"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// Rates of the callers of a cell.
const (
	lookupEvery = 20 * time.Millisecond
	orderEvery  = 50 * time.Millisecond
	burstEvery  = 250 * time.Millisecond
	burst       = 8 // look-ups at once, above the cold-start limit of any upstream
	sightEvery  = 100 * time.Millisecond
)

// Routes of the firm.
const (
	lookupRoute = "breakdown-lookup"
	jobRoute    = "job-lookup"
	orderRoute  = "pump-order"
)

// number returns the next number of a request.
func (s *site) number() int {
	return int(s.requests.Add(1))
}

func (s *site) lookup(n int) wire.QueryRequest {
	route := lookupRoute
	if n%3 == 0 {
		route = jobRoute
	}
	r := wire.QueryRequest{Route: route, Filter: &wire.Filter{}, Limit: 40}
	if n%2 == 0 { // a fingerprint of its own needs a canary request; the others are known good
		r.Filter.KeyTo = fmt.Sprintf("zz-%d", n)
	}
	return r
}

func (s *site) order(n int) wire.OrderRequest {
	return wire.OrderRequest{Route: orderRoute, Operation: orderRoute, Key: fmt.Sprintf("order-%d", n), Quantity: 1}
}

// load sends look-ups and orders at fixed rates until ctx ends and waits for their ends.
func (s *site) load(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	lookup, order, bursts := time.NewTicker(lookupEvery), time.NewTicker(orderEvery), time.NewTicker(burstEvery)
	for _, t := range []*time.Ticker{lookup, order, bursts} {
		defer t.Stop()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-lookup.C:
			s.sendLookup(&calls, s.number())
		case <-order.C:
			n := s.number()
			calls.Go(func() { s.client.Order(context.Background(), caller(n), s.order(n)) })
		case <-bursts.C:
			for range burst {
				s.sendLookup(&calls, s.number())
			}
		}
	}
}

func (s *site) sendLookup(calls *sync.WaitGroup, n int) {
	v := s.client.PickVM()
	calls.Go(func() { s.client.Query(context.Background(), v, caller(n), s.lookup(n)) })
}

func caller(n int) string {
	return fmt.Sprintf("caller-%d", n)
}

// watchRevisions records until ctx ends which configuration each VM shows, a new one from the first
// time that it was ready, because before it still asks the others.
func (s *site) watchRevisions(ctx context.Context) {
	ready := map[*tier.VM]bool{}
	t := time.NewTicker(sightEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, v := range s.running() {
			ready[v] = ready[v] || v.Ready()
			if ready[v] {
				s.sight(v)
			}
		}
	}
}

// sight records what one VM shows; the last look at a paused process says nothing about now.
func (s *site) sight(v *tier.VM) {
	sent := time.Now()
	revision := v.Revision()
	if s.child != nil && v.Runner() == tier.Runner(s.child) && !v.Ready() {
		return
	}
	s.tier.Recorder().RecordRevision(audit.RevisionObservation{VM: v.Address, SentAt: sent, ReturnedAt: time.Now(), Revision: revision})
}

// serves reports whether a VM answers look-ups completely and runs an order.
func (s *site) serves(ctx context.Context, v *tier.VM) error {
	if !v.Ready() {
		return fmt.Errorf("VM %s in %s is not ready", v.Address, v.Zone)
	}
	for _, route := range []string{lookupRoute, jobRoute} {
		n := s.number()
		req := wire.QueryRequest{Route: route, Filter: &wire.Filter{KeyTo: fmt.Sprintf("zz-%d", n)}, Limit: 40}
		if q := s.client.Query(ctx, v, caller(n), req); q.Code != result.Complete {
			return fmt.Errorf("VM %s in %s answered %s with %s, lacking %v", v.Address, v.Zone, route, q.Code, lacking(q))
		}
	}
	n := s.number()
	if o := s.client.OrderVia(ctx, v, caller(n), s.order(n)); o.Code != result.Executed && o.Code != result.Replayed {
		return fmt.Errorf("an order ended with %s", o.Code)
	}
	return nil
}

func lacking(q audit.Query) []string {
	if q.Answer == nil {
		return nil
	}
	return q.Answer.Missing
}
