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
	bytes       int64 // taken from the budget
}

func (q *incomingQuery) confirm() {
	q.confirmOnce.Do(func() { close(q.confirmed) })
}

// incomingBytes returns the memory that a query of another VM takes. A query without a body takes some 4 KB for its
// context and its state.
func incomingBytes(m *wire.QueryForward) int64 {
	n := 4<<10 + len(m.Target) + len(m.Body)
	for _, h := range m.Header {
		n += len(h.Name) + len(h.Value) + 64 // and an entry of a map
	}
	return int64(n)
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
	size := incomingBytes(m)
	if r.budget != nil && !r.budget.Take(size) {
		r.recordFailure(req, from, "no memory for the query")
		r.peers.Send(from, newResultMessage(m.ID, forward.Answer{Code: result.NotReady}, false))
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	q := &incomingQuery{cancel: cancel, confirmed: make(chan struct{}), bytes: size}
	req.Confirmed = q.confirmed
	r.mu.Lock()
	r.incoming[key] = q
	r.mu.Unlock()
	r.peers.Send(from, &wire.Envelope{Kind: codec.KindQueryAccept, QueryAccept: &wire.QueryAccept{ID: m.ID}})
	if !r.workers.SubmitPriority(r.priority(req), func() { r.serveQuery(ctx, key, q, req) }) {
		r.endIncoming(key, q)
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
func (r *Relay) serveQuery(ctx context.Context, key incomingKey, q *incomingQuery, req *forward.Request) {
	defer r.endIncoming(key, q)
	if ctx.Err() != nil {
		return
	}
	req.OnProgress = func(a forward.Answer) { r.peers.Send(key.from, newResultMessage(key.id, a, true)) }
	a := r.server.Serve(ctx, req)
	if a.Code != result.Cancelled {
		r.peers.Send(key.from, newResultMessage(key.id, a, false))
	}
}

// endIncoming removes a query of another VM that has ended. A second copy of its message may have taken its place.
func (r *Relay) endIncoming(key incomingKey, q *incomingQuery) {
	q.cancel()
	r.mu.Lock()
	if r.incoming[key] == q {
		delete(r.incoming, key)
	}
	r.mu.Unlock()
	if r.budget != nil {
		r.budget.Return(q.bytes)
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
