package http1

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"pistachioshore.dev/pool"
	"pistachioshore.dev/transport"
)

// Pool keeps connections to upstreams; it is safe for concurrent use.
type Pool struct {
	dial    transport.DialFunc
	openers *pool.Pool[func()]

	mu     sync.Mutex
	hosts  map[netip.AddrPort]*host
	counts Counts
	closed bool
}

// host holds the connections to one upstream.
type host struct {
	idle    []*conn // most recently used last
	open    int     // idle, in use and being opened
	limit   int     // of open, as last given to Start
	waiting []*Exchange
}

// next takes the first exchange off the queue that somebody still waits for.
func (h *host) next() *Exchange {
	for len(h.waiting) > 0 {
		e := h.waiting[0]
		h.waiting = h.waiting[1:]
		if !e.ended() {
			return e
		}
	}
	return nil
}

var _ Client = (*Pool)(nil)

// New returns a pool without connections; a nil dial opens TCP connections with keep-alive probes.
func New(dial transport.DialFunc) *Pool {
	if dial == nil {
		probes := net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: probeCount}
		dial = (&net.Dialer{KeepAliveConfig: probes}).DialContext
	}
	p := &Pool{dial: dial, hosts: map[netip.AddrPort]*host{}}
	p.openers = pool.New(openers, func(open func()) { open() })
	return p
}

// Start sends the call over an idle connection, or a new one if fewer than limit are open; otherwise
// the call waits for a connection.
func (p *Pool) Start(address netip.AddrPort, limit int, call *Call, done DoneFunc) *Exchange {
	e := &Exchange{pool: p, call: call, done: done}
	c, how := p.take(address, limit, e, time.Now())
	switch how {
	case reuse:
		p.write(c, e)
	case dial:
		p.submitOpen(address, e)
	case refuse:
		e.finish(Response{}, PoolExhausted)
	}
	return e
}

// submitOpen has a worker open a connection that is counted as open.
func (p *Pool) submitOpen(address netip.AddrPort, e *Exchange) {
	if !p.openers.Submit(func() { p.open(address, e) }) {
		p.release(address)
		e.finish(Response{}, Unreachable)
	}
}

// Counts returns the totals of the pool.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counts
	for _, h := range p.hosts {
		c.Open += h.open
	}
	return c
}

// CloseIdleConnections closes the idle connections to an upstream that has gone.
func (p *Pool) CloseIdleConnections(address netip.AddrPort) {
	p.mu.Lock()
	h := p.hosts[address]
	var idle []*conn
	if h != nil {
		idle, h.idle = h.idle, nil
	}
	p.mu.Unlock()
	for _, c := range idle {
		c.breakOff()
	}
}

// Close ends all idle connections and refuses new exchanges.
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
	p.openers.Stop()
}

// way is how an exchange gets its connection.
type way uint8

const (
	reuse  way = iota + 1 // over an idle one
	dial                  // over a new one, which is counted as open
	wait                  // over the next one that is free
	refuse                // not at all
)

// take decides how the exchange gets its connection, and returns an idle one to reuse.
func (p *Pool) take(address netip.AddrPort, limit int, e *Exchange, now time.Time) (*conn, way) {
	p.mu.Lock()
	var stale []*conn
	defer func() {
		p.mu.Unlock()
		for _, c := range stale {
			c.breakOff()
		}
	}()
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1] // the one that was used last; if it is too old, all are
		if most := e.call.MaxIdleTime; most > 0 && now.Sub(c.idleSince) > most && h.open < limit {
			break
		}
		h.idle = h.idle[:len(h.idle)-1]
		if c.usable(now) {
			p.counts.Reused++
			return c, reuse
		}
		stale = append(stale, c)
	}
	h.limit = limit
	switch {
	case p.closed:
		return nil, refuse
	case h.open-len(stale) < limit:
		h.open++
		p.counts.Dialed++
		return nil, dial
	case len(h.waiting) < mostWaiting:
		h.waiting = append(h.waiting, e)
		p.counts.Waited++
		return nil, wait
	default:
		return nil, refuse
	}
}

// release notes that a connection has ended or was never opened.
func (p *Pool) release(address netip.AddrPort) {
	p.mu.Lock()
	h := p.hosts[address]
	var e *Exchange
	if h != nil {
		h.open--
		if h.open < h.limit && !p.closed {
			e = h.next()
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
		p.submitOpen(address, e)
	}
}

// park gives a free connection to the next exchange that waits for one, or keeps it.
func (p *Pool) park(c *conn) {
	p.mu.Lock()
	h := p.hosts[c.address]
	keep := h != nil && !p.closed
	var e *Exchange
	if keep {
		if e = h.next(); e == nil {
			c.idleSince = time.Now()
			h.idle = append(h.idle, c)
		}
	}
	p.mu.Unlock()
	switch {
	case !keep:
		c.breakOff()
	case e != nil:
		p.write(c, e)
	}
}

// discard takes a closed connection out of the idle ones.
func (p *Pool) discard(c *conn) {
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

// open opens a connection for the exchange and sends it.
func (p *Pool) open(address netip.AddrPort, e *Exchange) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	nc, err := p.dial(ctx, "tcp", address.String())
	if err != nil {
		p.release(address)
		if ctx.Err() != nil {
			e.finish(Response{}, ConnectTimedOut)
		} else {
			e.finish(Response{}, Unreachable)
		}
		return
	}
	c := newConn(p, address, nc)
	go c.read()
	if e.ended() {
		p.park(c)
		return
	}
	p.write(c, e)
}

// write sends the exchange over the connection, a long one from a worker of its own.
func (p *Pool) write(c *conn, e *Exchange) {
	if !e.attach(c) {
		p.park(c)
		return
	}
	if len(e.call.Body) <= inlineBody {
		c.send(e)
		return
	}
	if !p.openers.Submit(func() { c.send(e) }) {
		c.fail(ConnectionLost)
	}
}

// count changes the totals.
func (p *Pool) count(change func(c *Counts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.counts)
}
