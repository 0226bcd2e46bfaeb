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
type incoming struct {
	from netip.AddrPort
	id   uint64
}

// incomingQuery is a query of another VM that is in flight.
type serving struct {
	cancel    context.CancelFunc
	confirmed chan struct{}
	once      sync.Once
}

func (s *serving) confirm() {
	s.once.Do(func() { close(s.confirmed) })
}

// acceptQuery accepts a query of another VM and has a worker answer it. A query that arrived while this process was
// paused is dropped, because its sender has turned to another VM.
func (r *Relay) begin(from netip.AddrPort, m *wire.QueryForward) {
	key := incoming{from, m.ID}
	req := fromForward(m, time.Now())
	if r.paused() {
		r.note(req, from, "query arrived while this VM was paused")
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &serving{cancel: cancel, confirmed: make(chan struct{})}
	req.Confirmed = s.confirmed
	r.mu.Lock()
	r.serving[key] = s
	r.mu.Unlock()
	r.peers.Send(from, &wire.Envelope{Kind: codec.KindQueryAccept, QueryAccept: &wire.QueryAccept{ID: m.ID}})
	if !r.work.Submit(func() { r.serve(ctx, key, req) }) {
		r.stop(key)
	}
}

// serveQuery runs one query of another VM and sends its answer.
func (r *Relay) serve(ctx context.Context, key incoming, req *forward.Request) {
	defer r.stop(key)
	if ctx.Err() != nil {
		return
	}
	a := r.server.Serve(ctx, req)
	if a.Code != result.Cancelled {
		r.peers.Send(key.from, toResult(key.id, a))
	}
}

// cancelIncoming cancels a query of another VM if it is in flight.
func (r *Relay) stop(key incoming) {
	r.mu.Lock()
	s := r.serving[key]
	delete(r.serving, key)
	r.mu.Unlock()
	if s != nil {
		s.cancel()
	}
}
