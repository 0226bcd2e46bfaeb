package http1

import (
	"sync"
	"time"
)

// Exchange is one call in flight or waiting for a connection.
type Exchange struct {
	pool *Pool
	call *Call
	done DoneFunc

	waited bool // the exchange had no connection at its start; set before another goroutine knows it

	mu   sync.Mutex
	conn *conn // nil until the exchange has a connection
	over bool  // done has been called or is no longer to be called
}

// Abandon drops the result: done is no longer called. The connection is kept open for reuse if the response
// arrives within limit, so that the next call need not open one.
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
		time.AfterFunc(limit, func() { c.closeIfPending(e) })
	}
}

// Cancel drops the result and closes the connection, which tells the upstream that nobody waits for the response.
func (e *Exchange) Cancel() {
	e.mu.Lock()
	e.over = true
	c := e.conn
	e.mu.Unlock()
	if c != nil {
		c.closeIfPending(e)
	}
}

// mayBeSent reports whether the call may still be sent after the wait for its connection.
func (e *Exchange) mayBeSent() bool {
	return !e.waited || e.call.MayBeSent == nil || e.call.MayBeSent()
}

// finish passes the result to done unless the exchange is over.
func (e *Exchange) finish(r Response, f Failure) {
	e.mu.Lock()
	over := e.over
	e.over = true
	e.mu.Unlock()
	if !over {
		e.done(r, f)
	}
}

// isOver reports whether the result has been delivered or is no longer wanted.
func (e *Exchange) isOver() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.over
}

// attach assigns a connection to the exchange; it returns false if the exchange is over.
func (e *Exchange) attach(c *conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.over {
		return false
	}
	e.conn = c
	return true
}
