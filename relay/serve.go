package relay

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/forward"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// incomingKey identifies a query of another VM.
type incomingKey struct {
	from netip.AddrPort
	id   uint64
}

// incomingQuery is a query of another VM that is in flight.
type incomingQuery struct {
	cancel      context.CancelFunc
	confirmed   chan struct{}
	confirmOnce sync.Once
}

func (q *incomingQuery) confirm() {
	q.confirmOnce.Do(func() { close(q.confirmed) })
}

// acceptQuery accepts a query of another VM and has a worker answer it. A query that arrived while this process was
// paused is dropped, because its sender has turned to another VM.
func (r *Relay) acceptQuery(from netip.AddrPort, m *wire.QueryForward) {
	key := incomingKey{from, m.ID}
	req := requestFromMessage(m, time.Now())
	if r.paused() {
		r.recordFailure(req, from, "query arrived while this VM was paused")
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	q := &incomingQuery{cancel: cancel, confirmed: make(chan struct{})}
	req.Confirmed = q.confirmed
	r.mu.Lock()
	r.incoming[key] = q
	r.mu.Unlock()
	r.peers.Send(from, &wire.Envelope{Kind: codec.KindQueryAccept, QueryAccept: &wire.QueryAccept{ID: m.ID}})
	if !r.workers.SubmitPriority(r.priority(req), func() { r.serveQuery(ctx, key, req) }) {
		r.cancelIncoming(key)
	}
}

// prioritizer is a handler that knows the priorities of requests.
type prioritizer interface {
	// Priority returns the priority of a request, 0 for the most urgent.
	Priority(req *forward.Request) int
}

// priority returns the priority with which a query of another VM waits for a worker. Without one of its own, it is that of
// the route here, because VMs of earlier versions reject messages with a priority.
func (r *Relay) priority(req *forward.Request) int {
	if p, ok := r.server.(prioritizer); ok {
		return p.Priority(req)
	}
	return 0
}

// serveQuery runs one query of another VM and sends its answer.
func (r *Relay) serveQuery(ctx context.Context, key incomingKey, req *forward.Request) {
	defer r.cancelIncoming(key)
	if ctx.Err() != nil {
		return
	}
	req.OnProgress = func(a forward.Answer) { r.peers.Send(key.from, newResultMessage(key.id, a, true)) }
	a := r.server.Serve(ctx, req)
	if a.Code != result.Cancelled {
		r.peers.Send(key.from, newResultMessage(key.id, a, false))
	}
}

// cancelIncoming cancels a query of another VM if it is in flight.
func (r *Relay) cancelIncoming(key incomingKey) {
	r.mu.Lock()
	q := r.incoming[key]
	delete(r.incoming, key)
	r.mu.Unlock()
	if q != nil {
		q.cancel()
	}
}
