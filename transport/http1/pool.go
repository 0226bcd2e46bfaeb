package http1

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"pistachioshore.dev/pool"
	"pistachioshore.dev/transport"
)

// Pool holds connections to upstreams; it is safe for concurrent use.
type Pool struct {
	dial    transport.DialFunc
	workers *pool.Pool[func()]

	onPanic     pool.PanicHandler
	largeBodies chan struct{} // holds an element for each large body that is being read
	unfinished  *unfinished

	mu     sync.Mutex
	hosts  map[netip.AddrPort]*host
	counts Counts
	closed bool
}

// host holds the connections to one upstream.
type host struct {
	idle    []*conn // most recently used last
	open    int     // connections that are idle, in use or being opened
	maxOpen int     // bound of open, as last passed to Start
	waiting []*Exchange
}

// nextWaiting removes the first exchange that is not over from the queue and returns it, or nil.
func (h *host) nextWaiting() *Exchange {
	for len(h.waiting) > 0 {
		e := h.waiting[0]
		h.waiting = h.waiting[1:]
		if !e.isOver() {
			return e
		}
	}
	return nil
}

var _ Client = (*Pool)(nil)

// New returns a pool without connections. If dial is nil, it opens TCP connections with keep-alive probes.
func New(dial transport.DialFunc) *Pool {
	if dial == nil {
		probes := net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}
		dial = (&net.Dialer{KeepAliveConfig: probes}).DialContext
	}
	p := &Pool{dial: dial, hosts: map[netip.AddrPort]*host{}, largeBodies: make(chan struct{}, maxLargeBodies), unfinished: newUnfinished()}
	p.workers = pool.New(dialWorkers, func(task func()) { task() })
	return p
}

// OnPanic sets the handler of panics while connections are opened, written or read. A panic closes its connection. It
// must be called before the first call is started.
func (p *Pool) OnPanic(h pool.PanicHandler) {
	p.onPanic = h
	p.workers.OnPanic(h)
}

// Start sends the call over an idle connection, or over a new one if fewer than maxConns are open to the
// upstream; otherwise the call waits for a connection.
func (p *Pool) Start(address netip.AddrPort, maxConns int, call *Call, done DoneFunc) *Exchange {
	e := &Exchange{pool: p, call: call, done: done}
	c, decision := p.acquire(address, maxConns, e, time.Now())
	switch decision {
	case reuseIdle:
		p.send(c, e)
	case dialNew:
		p.submitDial(address, e)
	case reject:
		e.finish(Response{}, PoolExhausted)
	}
	return e
}

// submitDial makes a worker open a connection, which is counted as open already.
func (p *Pool) submitDial(address netip.AddrPort, e *Exchange) {
	if !p.workers.Submit(func() { p.dialAndSend(address, e) }) {
		p.release(address)
		e.finish(Response{}, Unreachable)
	}
}

// Probe tells whether the upstream accepts connections.
func (p *Pool) Probe(address netip.AddrPort, maxConns int, done func(f Failure)) {
	switch p.acquireForProbe(address, maxConns) {
	case reuseIdle:
		done(NoFailure)
	case dialNew:
		if !p.workers.Submit(func() { p.dialAndPark(address, done) }) {
			p.release(address)
			done(PoolExhausted)
		}
	default:
		done(PoolExhausted)
	}
}

// acquireForProbe decides how a probe is answered. With dialNew a connection counts as open from now on.
func (p *Pool) acquireForProbe(address netip.AddrPort, maxConns int) acquisition {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	switch {
	case p.closed || (h != nil && h.open >= maxConns && len(h.idle) == 0):
		return reject
	case h != nil && len(h.idle) > 0:
		return reuseIdle
	case h == nil:
		h = &host{}
		p.hosts[address] = h
	}
	h.open++
	h.maxOpen = maxConns
	p.counts.Dialed++
	return dialNew
}

// Counts returns the current counts.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counts
	for _, h := range p.hosts {
		c.Open += h.open
	}
	return c
}

// CloseIdleConnections closes the idle connections to an upstream.
func (p *Pool) CloseIdleConnections(address netip.AddrPort) {
	p.mu.Lock()
	h := p.hosts[address]
	var idle []*conn
	if h != nil {
		idle, h.idle = h.idle, nil
	}
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// Close closes all idle connections; later calls fail.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	var addresses []netip.AddrPort
	for a := range p.hosts {
		addresses = append(addresses, a)
	}
	p.mu.Unlock()
	for _, a := range addresses {
		p.CloseIdleConnections(a)
	}
	p.workers.Stop()
}

// acquisition is how an exchange gets its connection.
type acquisition uint8

const (
	reuseIdle   acquisition = iota + 1 // it reuses an idle one
	dialNew                            // it opens a new one, which is counted as open from now on
	waitForFree                        // it waits for the next free one
	reject                             // it gets none
)

// acquire decides how the exchange gets its connection, and returns the idle one to reuse.
func (p *Pool) acquire(address netip.AddrPort, maxConns int, e *Exchange, now time.Time) (*conn, acquisition) {
	p.mu.Lock()
	var stale []*conn
	defer func() {
		p.mu.Unlock()
		for _, c := range stale {
			c.close()
		}
	}()
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	for i := len(h.idle) - 1; i >= 0; i-- {
		c := h.idle[i] // the one used last; if it has been idle too long, all have
		if maxIdle := e.call.MaxIdleTime; maxIdle > 0 && now.Sub(c.idleSince) > maxIdle && h.open < maxConns {
			break
		}
		usable := c.isUsable(now)
		if usable && c.hasCarried(e.call.ID) {
			continue
		}
		h.idle = slices.Delete(h.idle, i, i+1)
		if usable {
			p.counts.Reused++
			return c, reuseIdle
		}
		stale = append(stale, c)
	}
	for len(h.idle) > 0 && h.open-len(stale) >= maxConns {
		// All idle connections have carried the call's ID. A new one takes the place of the one used least recently.
		stale = append(stale, h.idle[0])
		h.idle = slices.Delete(h.idle, 0, 1)
	}
	h.maxOpen = maxConns
	switch {
	case p.closed:
		return nil, reject
	case h.open-len(stale) < maxConns:
		h.open++
		p.counts.Dialed++
		e.waited = true
		return nil, dialNew
	case len(h.waiting) < maxWaiting:
		e.waited = true
		h.waiting = append(h.waiting, e)
		p.counts.Waited++
		return nil, waitForFree
	default:
		return nil, reject
	}
}

// release frees the slot of a connection that was closed or could not be opened, and opens another connection
// for a waiting exchange.
func (p *Pool) release(address netip.AddrPort) {
	p.mu.Lock()
	h := p.hosts[address]
	var e *Exchange
	if h != nil {
		h.open--
		if h.open < h.maxOpen && !p.closed {
			e = h.nextWaiting()
		}
		switch {
		case e != nil:
			h.open++
			p.counts.Dialed++
		case h.open <= 0 && len(h.idle) == 0:
			delete(p.hosts, address)
		}
	}
	p.mu.Unlock()
	if e != nil {
		p.submitDial(address, e)
	}
}

// park passes a free connection to the next waiting exchange, or keeps it idle. If it has carried the ID of that exchange,
// it is closed, and the exchange gets a new one in its place.
func (p *Pool) park(c *conn) {
	p.mu.Lock()
	h := p.hosts[c.address]
	keep := h != nil && !p.closed && !c.isClosed() // one that is closed from now on is removed by removeIdle
	var e *Exchange
	if keep {
		e = h.nextWaiting()
		switch {
		case e == nil:
			c.idleSince = time.Now()
			h.idle = append(h.idle, c)
		case c.hasCarried(e.call.ID):
			h.waiting = slices.Insert(h.waiting, 0, e)
			keep = false
		}
	}
	p.mu.Unlock()
	switch {
	case !keep:
		c.close()
	case e != nil:
		p.send(c, e)
	}
}

// removeIdle removes a closed connection from the idle ones.
func (p *Pool) removeIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.address]
	if h == nil {
		return
	}
	for i, other := range h.idle {
		if other == c {
			h.idle = append(h.idle[:i], h.idle[i+1:]...)
			return
		}
	}
}

// dialAndSend opens a connection for the exchange and sends its request.
func (p *Pool) dialAndSend(address netip.AddrPort, e *Exchange) {
	c, failure := p.open(address)
	switch {
	case failure != NoFailure:
		e.finish(Response{}, failure)
	case e.isOver():
		p.park(c)
	default:
		p.send(c, e)
	}
}

// dialAndPark opens a connection for a probe and keeps it for later calls.
func (p *Pool) dialAndPark(address netip.AddrPort, done func(f Failure)) {
	c, failure := p.open(address)
	if failure == NoFailure {
		p.park(c)
	}
	done(failure)
}

// open opens a connection that is counted as open already. If it fails, it frees the slot of the connection.
func (p *Pool) open(address netip.AddrPort) (*conn, Failure) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	nc, err := p.dial(ctx, "tcp", address.String())
	if err != nil {
		p.release(address)
		if ctx.Err() != nil {
			return nil, ConnectTimedOut
		}
		return nil, Unreachable
	}
	c := newConn(p, address, nc)
	go c.readLoop()
	return c, NoFailure
}

// send writes the request of the exchange to the connection, if it may still be sent; a worker writes a request with a long body.
func (p *Pool) send(c *conn, e *Exchange) {
	if !e.attach(c) {
		p.park(c)
		return
	}
	if len(e.call.Body) <= maxInlineBody {
		c.send(e)
		return
	}
	if !p.workers.Submit(func() { c.send(e) }) {
		c.fail(ConnectionLost)
	}
}

// count updates the totals.
func (p *Pool) count(change func(c *Counts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.counts)
}
