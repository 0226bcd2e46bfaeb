package socket

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/coder/websocket"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/pool"
	"pistachioshore.dev/wire"
)

// maxPartsPerFrame bounds the shard results that are sent in one frame, so that it stays under the frame limit.
const maxPartsPerFrame = 64

// link keeps one connection to one VM and sends queued messages on it.
type link struct {
	hub      *Hub
	vm       netip.AddrPort
	receiver Receiver
	ctx      context.Context
	cancel   context.CancelFunc
	wake     chan struct{}

	mu        sync.Mutex
	connected bool
	queue     []*outgoing
}

func newLink(h *Hub, vm netip.AddrPort, r Receiver) *link {
	l := &link{hub: h, vm: vm, receiver: r, wake: make(chan struct{}, 1)}
	l.ctx, l.cancel = context.WithCancel(h.ctx)
	return l
}

// push queues a message if a connection is open.
func (l *link) push(m *outgoing) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.connected || len(l.queue) >= l.hub.opts.queue {
		return false
	}
	l.queue = append(l.queue, m)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

// run opens a connection, sends on it until it fails, and opens the next one.
func (l *link) run() {
	for l.ctx.Err() == nil {
		c, err := l.hub.dial(l.ctx, l.vm)
		if err != nil {
			l.receiver.ConnectFailed(l.vm)
			pool.Sleep(l.ctx, l.hub.opts.redial)
			continue
		}
		l.serve(c)
	}
}

// serve sends on one connection until it fails or the link is cancelled.
func (l *link) serve(c *websocket.Conn) {
	l.setConnected(true)
	ctx := c.CloseRead(l.ctx)
	var pinging sync.WaitGroup
	pinging.Go(func() { l.ping(ctx, c) })
	l.send(ctx, c)
	_ = c.CloseNow()
	pinging.Wait()
	if unsent := l.setConnected(false); len(unsent) > 0 {
		l.receiver.Undelivered(l.vm, unsent)
	}
	l.receiver.Disconnected(l.vm)
}

// setConnected opens or closes the queue and returns what was still in it.
func (l *link) setConnected(open bool) []*wire.Envelope {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connected = open
	var unsent []*wire.Envelope
	for _, m := range l.queue {
		unsent = append(unsent, m.message)
	}
	l.queue = nil
	return unsent
}

// ping closes the connection when a pong does not come in time.
func (l *link) ping(ctx context.Context, c *websocket.Conn) {
	t := time.NewTicker(l.hub.opts.ping)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		limit, cancel := context.WithTimeout(ctx, l.hub.opts.progress)
		err := c.Ping(limit)
		cancel()
		if err != nil {
			_ = c.CloseNow()
			return
		}
	}
}

func (l *link) send(ctx context.Context, c *websocket.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		for m := l.next(); m != nil; m = l.next() {
			if l.hub.write(ctx, c, m) != nil {
				return
			}
		}
	}
}

// next takes the next message off the queue; shard results that follow one another share a frame.
func (l *link) next() *outgoing {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 {
		return nil
	}
	m := l.queue[0]
	l.queue = l.queue[1:]
	if m.message.Kind != codec.KindParts {
		return m
	}
	joined := &wire.Parts{Items: append([]wire.Part(nil), m.message.Parts.Items...)}
	for len(l.queue) > 0 && l.queue[0].message.Kind == codec.KindParts && len(joined.Items) < maxPartsPerFrame {
		joined.Items = append(joined.Items, l.queue[0].message.Parts.Items...)
		l.queue = l.queue[1:]
	}
	return l.hub.outgoing(&wire.Envelope{Kind: codec.KindParts, Parts: joined})
}
