// Package relay passes queries on to the aggregators of a large tier and answers those of other VMs.
package relay

import (
	"context"
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

// Relay exchanges queries with other VMs; it is safe for concurrent use.
type Relay struct {
	chosen *aggregator.Table
	peers  transport.Peer
	server forward.Handler
	events event.Recorder
	paused func() bool
	again  *budget.TokenBucket
	work   *pool.Pool[func()]
	nextID atomic.Uint64

	mu      sync.Mutex
	asked   map[uint64]*asked
	serving map[incoming]*serving
}

// asked is a query that this VM passed on.
type asked struct {
	id       uint64
	vm       netip.AddrPort
	accepted chan struct{}
	ended    chan ended
}

// ended is how a query that was passed on has ended.
type ended struct {
	answer forward.Answer
	lost   bool // the connection to the aggregator broke
}

var _ forward.Relay = (*Relay)(nil)

// New returns a relay that passes queries on to chosen aggregators and has the server answer those of other
// VMs. Paused reports whether the process stood still since the last call.
func New(chosen *aggregator.Table, peers transport.Peer, server forward.Handler, events event.Recorder, paused func() bool) *Relay {
	r := &Relay{
		chosen: chosen, peers: peers, server: server, events: events, paused: paused,
		again: budget.NewTokenBucket(againShare, againBurst),
		asked: map[uint64]*asked{}, serving: map[incoming]*serving{},
	}
	r.again.SetBurst(againBurst)
	r.work = pool.New(workers, func(task func()) { task() })
	return r
}

// Close ends the workers; no query may be under way.
func (r *Relay) Close() {
	r.work.Stop()
}

// Relay passes the query on to an aggregator, and to a second one if the first does not take it.
func (r *Relay) Relay(ctx context.Context, req *forward.Request, l forward.RelayLimits) (forward.Answer, netip.AddrPort, bool) {
	var tried []netip.AddrPort
	r.again.Earn(1)
	for len(tried) < maxTries {
		vm, ok := r.chosen.Pick(time.Now(), tried)
		if !ok {
			break
		}
		tried = append(tried, vm)
		a, ok := r.ask(ctx, vm, req, l)
		r.chosen.Done(vm)
		if ok {
			return a, vm, true
		}
	}
	return forward.Answer{}, netip.AddrPort{}, false
}

// ask passes the query on to one VM and returns false if another one may run it.
func (r *Relay) ask(ctx context.Context, vm netip.AddrPort, req *forward.Request, l forward.RelayLimits) (forward.Answer, bool) {
	id := r.nextID.Add(1)
	c := &asked{id: id, vm: vm, accepted: make(chan struct{}, 1), ended: make(chan ended, 1)}
	r.mu.Lock()
	r.asked[id] = c
	r.mu.Unlock()
	defer r.forget(id)
	if !r.peers.Send(vm, toForward(id, req, l)) {
		r.note(req, vm, "no connection")
		return forward.Answer{}, false
	}
	return r.await(ctx, c, req, l)
}

// await waits for the answer. An aggregator that does not say in time that it has begun may be paused or cut off.
func (r *Relay) await(ctx context.Context, c *asked, req *forward.Request, l forward.RelayLimits) (forward.Answer, bool) {
	due := time.Now().Add(acceptLimit)
	taken := time.NewTimer(acceptLimit)
	defer taken.Stop()
	over := time.NewTimer(time.Until(l.Deadline))
	defer over.Stop()
	accepted := false
	for {
		select {
		case <-c.accepted:
			accepted = true
			taken.Stop()
			r.chosen.MarkResponsive(c.vm)
			r.peers.Send(c.vm, &wire.Envelope{Kind: codec.KindQueryConfirm, QueryConfirm: &wire.QueryConfirm{ID: c.id}})
		case e := <-c.ended:
			return r.end(e, c, req, accepted || len(c.accepted) > 0, l)
		case <-taken.C:
			if now := time.Now(); now.Sub(due) > timerSlack {
				due = now.Add(acceptLimit) // this VM stood still, and what has arrived meanwhile is not read yet
				taken.Reset(acceptLimit)
				continue
			}
			if len(c.accepted) > 0 || !r.silent(c, req, l) {
				continue
			}
			return forward.Answer{}, false
		case <-over.C:
			r.cancel(c)
			return forward.Answer{Code: result.Late, Sharded: true}, true
		case <-ctx.Done():
			r.cancel(c)
			return forward.Answer{Code: result.Cancelled}, true
		}
	}
}

// silent notes that an aggregator did not take the query in time, and reports whether another VM may run it.
func (r *Relay) silent(c *asked, req *forward.Request, l forward.RelayLimits) bool {
	r.chosen.MarkUnresponsive(time.Now(), c.vm)
	r.note(req, c.vm, "not taken in time")
	if !r.mayTryAgain(req, l) {
		return false
	}
	r.cancel(c)
	return true
}

// mayTryAgain reports whether another VM may run a query that one VM may have begun with, which counts as an
// attempt at each shard: without a confirmation that VM makes no second one.
func (r *Relay) mayTryAgain(req *forward.Request, l forward.RelayLimits) bool {
	if l.MaxAttempts-req.PriorAttempts < 2 || !r.again.Take() {
		return false
	}
	req.PriorAttempts++
	return true
}

// end takes the answer, unless another VM can run the query. One that had begun may have made all attempts
// that the route allows, so its client has to come again.
func (r *Relay) end(e ended, c *asked, req *forward.Request, accepted bool, l forward.RelayLimits) (forward.Answer, bool) {
	switch {
	case e.lost && !accepted && r.mayTryAgain(req, l):
		r.note(req, c.vm, "connection lost")
		return forward.Answer{}, false
	case e.lost:
		return forward.Answer{Code: result.ConnectionLost, Sharded: true}, true
	case e.answer.Code == result.NotReady || e.answer.Code == result.Stopping:
		r.note(req, c.vm, e.answer.Code.String())
		return forward.Answer{}, false
	}
	return e.answer, true
}

func (r *Relay) note(req *forward.Request, vm netip.AddrPort, why string) {
	r.events.Record(event.RelayFailed, event.F(event.RequestID, req.ID), event.F(event.Peer, vm), event.F(event.Reason, why),
		event.F(event.Elapsed, time.Since(req.ReceivedAt)))
}

func (r *Relay) forget(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.asked, id)
}

func (r *Relay) cancel(c *asked) {
	r.peers.Send(c.vm, &wire.Envelope{Kind: codec.KindQueryCancel, QueryCancel: &wire.QueryCancel{ID: c.id}})
}

// ConnectionLost ends the queries that were passed on to a VM whose connection broke.
func (r *Relay) ConnectionLost(vm netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.asked {
		if c.vm == vm {
			c.end(ended{lost: true})
		}
	}
}

// end tells the end of a query once.
func (c *asked) end(e ended) {
	select {
	case c.ended <- e:
	default: // it has ended already
	}
}

// Receive takes a message about a query.
func (r *Relay) Receive(from netip.AddrPort, e *wire.Envelope) {
	switch {
	case e.QueryForward != nil:
		r.begin(from, e.QueryForward)
	case e.QueryAccept != nil:
		if c := r.find(from, e.QueryAccept.ID); c != nil {
			select {
			case c.accepted <- struct{}{}:
			default: // told already
			}
		}
	case e.QueryResult != nil:
		if c := r.find(from, e.QueryResult.ID); c != nil {
			c.end(ended{answer: fromResult(e.QueryResult)})
		}
	case e.QueryConfirm != nil:
		r.mu.Lock()
		s := r.serving[incoming{from, e.QueryConfirm.ID}]
		r.mu.Unlock()
		if s != nil {
			s.confirm()
		}
	case e.QueryCancel != nil:
		r.stop(incoming{from, e.QueryCancel.ID})
	}
}

// find returns a query that was passed on to the VM and has not ended.
func (r *Relay) find(vm netip.AddrPort, id uint64) *asked {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.asked[id]; c != nil && c.vm == vm {
		return c
	}
	return nil
}
