package socket

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/pool"
	"pistachioshore.dev/wire"
)

// maxPartsPerFrame bounds the shard results that are combined into one message, so that they are not held up by one
// another.
const maxPartsPerFrame = 64

// link keeps a connection to one VM open and sends the queued messages on it.
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
	bulk      []*outgoing // messages that others may overtake
}

func newLink(h *Hub, vm netip.AddrPort, r Receiver) *link {
	l := &link{hub: h, vm: vm, receiver: r, wake: make(chan struct{}, 1)}
	l.ctx, l.cancel = context.WithCancel(h.ctx)
	return l
}

// enqueue queues a message if a connection is open and the queue is not full.
func (l *link) enqueue(m *outgoing) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.connected || len(l.queue)+len(l.bulk) >= l.hub.opts.queueLimit {
		return false
	}
	if isBulk(m) {
		l.bulk = append(l.bulk, m)
	} else {
		l.queue = append(l.queue, m)
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

// run opens a connection, sends on it until it fails, and then opens another one, until the link is cancelled.
func (l *link) run() {
	for l.ctx.Err() == nil {
		c, err := l.hub.dial(l.ctx, l.vm)
		if err != nil {
			l.receiver.ConnectFailed(l.vm)
			pool.Sleep(l.ctx, l.hub.opts.redialDelay)
			continue
		}
		l.serve(c)
	}
}

// serve sends messages on one connection until it fails or the link is cancelled.
func (l *link) serve(c *websocket.Conn) {
	l.setConnected(true)
	l.receiver.Connected(l.vm)
	ctx := c.CloseRead(l.ctx)
	var pinging sync.WaitGroup
	pinging.Go(func() { l.pingLoop(ctx, c) })
	l.sendLoop(ctx, c)
	_ = c.CloseNow()
	pinging.Wait()
	if unsent := l.setConnected(false); len(unsent) > 0 {
		l.receiver.Undelivered(l.vm, unsent)
	}
	l.receiver.Disconnected(l.vm)
}

// setConnected records whether a connection is open, empties the queue and returns the messages that were in it.
func (l *link) setConnected(open bool) []*wire.Envelope {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connected = open
	var unsent []*wire.Envelope
	for _, m := range slices.Concat(l.queue, l.bulk) {
		unsent = append(unsent, m.message)
	}
	l.queue, l.bulk = nil, nil
	return unsent
}

// pingLoop pings the connection and closes it when a pong is late.
func (l *link) pingLoop(ctx context.Context, c *websocket.Conn) {
	t := time.NewTicker(l.hub.opts.pingInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		pingCtx, cancel := context.WithTimeout(ctx, l.hub.opts.ioTimeout)
		err := c.Ping(pingCtx)
		cancel()
		if err != nil {
			_ = c.CloseNow()
			return
		}
	}
}

// sendLoop sends the queued messages until the connection fails.
func (l *link) sendLoop(ctx context.Context, c *websocket.Conn) {
	s := &sender{link: l, conn: c, fragments: c.Subprotocol() == Subprotocol}
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		for {
			sent, err := s.sendNext(ctx)
			if err != nil {
				return
			}
			if !sent {
				break
			}
		}
	}
}

// dequeue returns the next message, or nil; consecutive shard results are combined into one.
func (l *link) dequeue() *outgoing {
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
	combined := &wire.Parts{Items: append([]wire.Part(nil), m.message.Parts.Items...)}
	for len(l.queue) > 0 && l.queue[0].message.Kind == codec.KindParts && len(combined.Items) < maxPartsPerFrame {
		combined.Items = append(combined.Items, l.queue[0].message.Parts.Items...)
		l.queue = l.queue[1:]
	}
	return l.hub.newOutgoing(&wire.Envelope{Kind: codec.KindParts, Parts: combined})
}

// nextBulk returns the first bulk message, or nil. It stays queued until removeBulk.
func (l *link) nextBulk() *outgoing {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.bulk) == 0 {
		return nil
	}
	return l.bulk[0]
}

func (l *link) removeBulk() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bulk = l.bulk[1:]
}
