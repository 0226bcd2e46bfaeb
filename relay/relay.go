// Package relay forwards parts of queries to aggregators and answers the parts that other VMs forward.
//
// The aggregator accepts a part when it arrives, and the sender confirms that it relies on this aggregator alone for
// the answer. A part that is not accepted in time is run by the sender.
package relay

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"pistachioshore.dev/aggregator"
	"pistachioshore.dev/budget"
	"pistachioshore.dev/codec"
	"pistachioshore.dev/event"
	"pistachioshore.dev/forward"
	"pistachioshore.dev/pool"
	"pistachioshore.dev/result"
	"pistachioshore.dev/transport"
	"pistachioshore.dev/wire"
)

// Relay exchanges queries with other VMs. It is safe for concurrent use.
type Relay struct {
	aggregators *aggregator.Table
	peers       transport.PeerMessenger
	server      forward.Handler
	events      event.Recorder
	paused      func() bool
	secondRuns  *budget.TokenBucket
	workers     *pool.Pool[func()]
	nextID      atomic.Uint64
	budget      Budget // for queries of other VMs; nil for no bound

	mu       sync.Mutex
	outgoing map[uint64]*outgoingQuery
	incoming map[incomingKey]*incomingQuery
}

// outgoingQuery is a query that this VM has forwarded.
type outgoingQuery struct {
	id       uint64
	vm       netip.AddrPort
	accepted chan struct{}
	outcome  chan queryOutcome
	progress func(a forward.Answer) // receives answers that are not final; may be nil
}

// queryOutcome is how a forwarded query has ended.
type queryOutcome struct {
	answer         forward.Answer
	connectionLost bool // the connection to the aggregator was lost
}

var _ forward.Relay = (*Relay)(nil)

// New returns a relay that forwards queries to aggregators and has server answer the queries of other VMs. The
// function paused reports whether the process was paused since its last call.
func New(aggregators *aggregator.Table, peers transport.PeerMessenger, server forward.Handler, events event.Recorder, paused func() bool) *Relay {
	r := &Relay{
		aggregators: aggregators, peers: peers, server: server, events: events, paused: paused,
		secondRuns: budget.NewTokenBucket(secondRunShare, secondRunBurst),
		outgoing:   map[uint64]*outgoingQuery{}, incoming: map[incomingKey]*incomingQuery{},
	}
	r.secondRuns.SetBurst(secondRunBurst)
	// IDs start at a random number: an aggregator may still answer queries of an earlier process with the same address.
	r.nextID.Store(rand.Uint64())
	r.workers = pool.NewOrdered(workerCount, hopTime, func(task func()) { task() })
	r.workers.OnPanic(event.PanicHandler(events))
	return r
}

// Budget bounds the memory of queries of other VMs.
type Budget interface {
	// Take takes n bytes and returns false if they are not available.
	Take(n int64) bool
	// Return returns bytes that were taken.
	Return(n int64)
}

// LimitIncoming bounds the queries of other VMs that are held. It must be called before the first one arrives.
func (r *Relay) LimitIncoming(b Budget) {
	r.budget = b
}

// Close stops the workers. It must not be called while queries are in flight.
func (r *Relay) Close() {
	r.workers.Stop()
}

// Zones returns the zones with an aggregator to which parts of queries can be forwarded.
func (r *Relay) Zones(now time.Time) []string {
	return r.aggregators.Zones(now)
}

// FansOut reports whether this VM may fan out parts itself.
func (r *Relay) FansOut() bool {
	return r.aggregators.FansOut()
}

// Relay forwards the part of a query to an aggregator of the zone, and to a second one if the first is not connected or
// declines. It returns the answer and the aggregator that it comes from, or false if this VM has to run the part itself.
func (r *Relay) Relay(ctx context.Context, req *forward.Request, zone string, limits forward.RelayLimits) (forward.Answer, netip.AddrPort, bool) {
	var tried []netip.AddrPort
	r.secondRuns.Credit(1)
	priorAttempts := req.PriorAttempts
	for len(tried) < maxAggregators && req.PriorAttempts == priorAttempts {
		vm, ok := r.aggregators.Pick(time.Now(), zone, tried)
		if !ok {
			break
		}
		tried = append(tried, vm)
		a, ok := r.forwardTo(ctx, vm, req, limits)
		r.aggregators.Done(vm)
		if ok {
			return a, vm, true
		}
	}
	return forward.Answer{}, netip.AddrPort{}, false
}

// forwardTo forwards the query to one VM and waits for its answer. It returns false if another VM may run the query.
func (r *Relay) forwardTo(ctx context.Context, vm netip.AddrPort, req *forward.Request, limits forward.RelayLimits) (forward.Answer, bool) {
	id := r.nextID.Add(1)
	q := &outgoingQuery{id: id, vm: vm, accepted: make(chan struct{}, 1), outcome: make(chan queryOutcome, 1), progress: req.OnProgress}
	r.mu.Lock()
	r.outgoing[id] = q
	r.mu.Unlock()
	defer r.removeOutgoing(id)
	if !r.peers.Send(vm, newForwardMessage(id, req, limits)) {
		r.recordFailure(req, vm, "not connected to the aggregator")
		return forward.Answer{}, false
	}
	return r.await(ctx, q, req, limits)
}

// await waits for the answer. An aggregator that does not accept the query within acceptTimeout may be paused or
// partitioned.
func (r *Relay) await(ctx context.Context, q *outgoingQuery, req *forward.Request, limits forward.RelayLimits) (forward.Answer, bool) {
	acceptBy := time.Now().Add(acceptTimeout)
	acceptTimer := time.NewTimer(acceptTimeout)
	defer acceptTimer.Stop()
	deadlineTimer := time.NewTimer(time.Until(limits.Deadline))
	defer deadlineTimer.Stop()
	accepted := false
	for {
		select {
		case <-q.accepted:
			accepted = true
			acceptTimer.Stop()
			r.aggregators.MarkResponsive(q.vm)
			r.peers.Send(q.vm, &wire.Envelope{Kind: codec.KindQueryConfirm, QueryConfirm: &wire.QueryConfirm{ID: q.id}})
		case o := <-q.outcome:
			return r.handleOutcome(o, q, req, accepted || len(q.accepted) > 0, limits)
		case <-acceptTimer.C:
			if now := time.Now(); now.Sub(acceptBy) > timerSlack {
				acceptBy = now.Add(acceptTimeout) // this VM was paused and has not yet read what arrived meanwhile
				acceptTimer.Reset(acceptTimeout)
				continue
			}
			if len(q.accepted) > 0 || !r.handleAcceptTimeout(q, req, limits) {
				continue
			}
			return forward.Answer{}, false
		case <-deadlineTimer.C:
			r.sendCancel(q)
			return forward.Answer{Code: result.Late, Sharded: true}, true
		case <-ctx.Done():
			r.sendCancel(q)
			return forward.Answer{Code: result.Cancelled}, true
		}
	}
}

// handleAcceptTimeout records that the aggregator did not accept the query in time, and reports whether another VM
// may run it.
func (r *Relay) handleAcceptTimeout(q *outgoingQuery, req *forward.Request, limits forward.RelayLimits) bool {
	r.aggregators.MarkUnresponsive(time.Now(), q.vm)
	r.recordFailure(req, q.vm, "aggregator did not accept the query in time")
	if !r.allowSecondRun(req, limits) {
		return false
	}
	r.sendCancel(q)
	return true
}

// allowSecondRun reports whether another VM may run a query that the first VM may already have started. The first
// run counts as one attempt at each shard, because a VM makes no second attempt before the query is confirmed.
func (r *Relay) allowSecondRun(req *forward.Request, limits forward.RelayLimits) bool {
	if limits.MaxAttempts-req.PriorAttempts < 2 || !r.secondRuns.Take() {
		return false
	}
	req.PriorAttempts++
	return true
}

// handleOutcome returns the answer, or false if another VM may run the query. An aggregator that had accepted the
// query may have made all attempts that the route allows, so if its connection is lost only the client can retry.
func (r *Relay) handleOutcome(o queryOutcome, q *outgoingQuery, req *forward.Request, accepted bool, limits forward.RelayLimits) (forward.Answer, bool) {
	switch {
	case o.connectionLost && !accepted && r.allowSecondRun(req, limits):
		r.recordFailure(req, q.vm, "connection to the aggregator was lost")
		return forward.Answer{}, false
	case o.connectionLost:
		return forward.Answer{Code: result.ConnectionLost, Sharded: true}, true
	case o.answer.Code == result.NotReady || o.answer.Code == result.Stopping:
		r.recordFailure(req, q.vm, o.answer.Code.String())
		return forward.Answer{}, false
	}
	return o.answer, true
}

func (r *Relay) recordFailure(req *forward.Request, vm netip.AddrPort, reason string) {
	r.events.Record(event.RelayFailed, event.F(event.RequestID, req.ID), event.F(event.Peer, vm), event.F(event.Reason, reason),
		event.F(event.Elapsed, time.Since(req.ReceivedAt)))
}

func (r *Relay) removeOutgoing(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.outgoing, id)
}

func (r *Relay) sendCancel(q *outgoingQuery) {
	r.peers.Send(q.vm, &wire.Envelope{Kind: codec.KindQueryCancel, QueryCancel: &wire.QueryCancel{ID: q.id}})
}

// ConnectionLost ends the queries that were forwarded to a VM whose connection was lost.
func (r *Relay) ConnectionLost(vm netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.outgoing {
		if q.vm == vm {
			q.finish(queryOutcome{connectionLost: true})
		}
	}
}

// receive handles a final answer, or one to which shards may still be added.
func (q *outgoingQuery) receive(m *wire.QueryResult) {
	a := answerFromMessage(m)
	switch {
	case !m.More:
		q.finish(queryOutcome{answer: a})
	case q.progress != nil:
		q.progress(a)
	}
}

// finish delivers the outcome of the query. Only the first call has an effect.
func (q *outgoingQuery) finish(o queryOutcome) {
	select {
	case q.outcome <- o:
	default: // the query has already ended
	}
}

// Receive handles a message about a query from another VM.
func (r *Relay) Receive(from netip.AddrPort, e *wire.Envelope) {
	switch {
	case e.QueryForward != nil:
		r.acceptQuery(from, e.QueryForward)
	case e.QueryAccept != nil:
		if q := r.findOutgoing(from, e.QueryAccept.ID); q != nil {
			select {
			case q.accepted <- struct{}{}:
			default: // already accepted
			}
		}
	case e.QueryResult != nil:
		if q := r.findOutgoing(from, e.QueryResult.ID); q != nil {
			q.receive(e.QueryResult)
		}
	case e.QueryConfirm != nil:
		r.mu.Lock()
		query := r.incoming[incomingKey{from, e.QueryConfirm.ID}]
		r.mu.Unlock()
		if query != nil {
			query.confirm()
		}
	case e.QueryCancel != nil:
		r.cancelIncoming(incomingKey{from, e.QueryCancel.ID})
	}
}

// findOutgoing returns a query in flight that was forwarded to the VM, or nil if there is none.
func (r *Relay) findOutgoing(vm netip.AddrPort, id uint64) *outgoingQuery {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.outgoing[id]; q != nil && q.vm == vm {
		return q
	}
	return nil
}
