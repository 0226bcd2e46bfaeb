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

// Intervals between the requests of the load, and between the checks of the revisions.
const (
	lookupInterval   = 20 * time.Millisecond
	orderInterval    = 50 * time.Millisecond
	burstInterval    = 250 * time.Millisecond
	burstSize        = 8 // look-ups sent at once, more than the cold-start limit of any upstream
	revisionInterval = 100 * time.Millisecond
)

// Routes that the load uses.
const (
	lookupRoute = "breakdown-lookup"
	jobRoute    = "job-lookup"
	orderRoute  = "pump-order"
)

// nextNumber returns the number of the next request.
func (e *environment) nextNumber() int {
	return int(e.lastRequest.Add(1))
}

func (e *environment) newLookup(n int) wire.QueryRequest {
	route := lookupRoute
	if n%3 == 0 {
		route = jobRoute
	}
	r := wire.QueryRequest{Route: route, Filter: &wire.Filter{}, Limit: 40}
	if n%2 == 0 { // a new fingerprint needs a canary request; that of the other look-ups is known to be good
		r.Filter.KeyTo = fmt.Sprintf("zz-%d", n)
	}
	return r
}

func (e *environment) newOrder(n int) wire.OrderRequest {
	return wire.OrderRequest{Route: orderRoute, Operation: orderRoute, Key: fmt.Sprintf("order-%d", n), Quantity: 1}
}

// sendLoad sends look-ups and orders at fixed rates until ctx ends, and waits for the last responses.
func (e *environment) sendLoad(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	lookup, order, bursts := time.NewTicker(lookupInterval), time.NewTicker(orderInterval), time.NewTicker(burstInterval)
	for _, t := range []*time.Ticker{lookup, order, bursts} {
		defer t.Stop()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-lookup.C:
			e.sendLookup(&calls, e.nextNumber())
		case <-order.C:
			n := e.nextNumber()
			calls.Go(func() { e.client.Order(context.Background(), callerName(n), e.newOrder(n)) })
		case <-bursts.C:
			for range burstSize {
				e.sendLookup(&calls, e.nextNumber())
			}
		}
	}
}

func (e *environment) sendLookup(calls *sync.WaitGroup, n int) {
	v := e.client.PickVM()
	calls.Go(func() { e.client.Query(context.Background(), v, callerName(n), e.newLookup(n)) })
}

func callerName(n int) string {
	return fmt.Sprintf("caller-%d", n)
}

// watchRevisions records the revision that each VM reports until ctx ends. A new VM counts from when it was first ready,
// because before that it still reads the configuration from its peers.
func (e *environment) watchRevisions(ctx context.Context) {
	ready := map[*tier.VM]bool{}
	t := time.NewTicker(revisionInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, v := range e.runningVMs() {
			ready[v] = ready[v] || v.Ready()
			if ready[v] {
				e.recordRevision(v)
			}
		}
	}
}

// recordRevision records the revision that a VM reports. It skips a child process that is not ready: while the process is
// paused, the last polled revision is not current.
func (e *environment) recordRevision(v *tier.VM) {
	sent := time.Now()
	revision := v.Revision()
	if e.child != nil && v.Runner() == tier.Runner(e.child) && !v.Ready() {
		return
	}
	e.tier.Recorder().RecordRevision(audit.RevisionObservation{VM: v.Address, SentAt: sent, ReturnedAt: time.Now(), Revision: revision})
}

// checkServing returns an error unless a VM answers look-ups completely and runs an order.
func (e *environment) checkServing(ctx context.Context, v *tier.VM) error {
	if !v.Ready() {
		return fmt.Errorf("VM %s in %s is not ready", v.Address, v.Zone)
	}
	for _, route := range []string{lookupRoute, jobRoute} {
		n := e.nextNumber()
		req := wire.QueryRequest{Route: route, Filter: &wire.Filter{KeyTo: fmt.Sprintf("zz-%d", n)}, Limit: 40}
		if q := e.client.Query(ctx, v, callerName(n), req); q.Code != result.Complete {
			return fmt.Errorf("VM %s in %s answered %s with %s, missing shards %v", v.Address, v.Zone, route, q.Code, missingShards(q))
		}
	}
	n := e.nextNumber()
	if o := e.client.OrderVia(ctx, v, callerName(n), e.newOrder(n)); o.Code != result.Executed && o.Code != result.Replayed {
		return fmt.Errorf("order ended with %s", o.Code)
	}
	return nil
}

func missingShards(q audit.Query) []string {
	if q.Answer == nil {
		return nil
	}
	return q.Answer.Missing
}
