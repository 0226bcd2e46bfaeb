package http1

import (
	"sync"
	"time"
)

// Exchange is one call under way.
type Exchange struct {
	pool *Pool
	call *Call
	done DoneFunc

	mu   sync.Mutex
	conn *conn // nil before a connection is there
	over bool  // done was called, or nobody waits for it
}

// Abandon gives the exchange up: done is not called any more. The connection is kept if the answer
// comes before the time limit, which spares the next call the opening of a connection.
func (e *Exchange) Abandon(limit time.Duration) {
	e.mu.Lock()
	if e.over {
		e.mu.Unlock()
		return
	}
	e.over = true
	c := e.conn
	e.mu.Unlock()
	e.pool.count(func(n *Counts) { n.Abandoned++ })
	if c != nil {
		time.AfterFunc(limit, func() { c.expire(e) })
	}
}

// Cancel gives the exchange up and closes its connection, by which the upstream learns that nobody waits.
func (e *Exchange) Cancel() {
	e.mu.Lock()
	e.over = true
	c := e.conn
	e.mu.Unlock()
	if c != nil {
		c.expire(e)
	}
}

// finish calls done unless the exchange is over.
func (e *Exchange) finish(r Response, f Failure) {
	e.mu.Lock()
	over := e.over
	e.over = true
	e.mu.Unlock()
	if !over {
		e.done(r, f)
	}
}

// ended reports whether nobody waits for the exchange.
func (e *Exchange) ended() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.over
}

// attach gives the exchange its connection unless nobody waits for it any more.
func (e *Exchange) attach(c *conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.over {
		return false
	}
	e.conn = c
	return true
}
