package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"pistachioshore.dev/standin"
	"pistachioshore.dev/table"
)

// readHeaderTimeout is how long a client may take to send the headers of a request.
const readHeaderTimeout = 5 * time.Second

// endpoint accepts and tracks the connections of one upstream.
type endpoint struct {
	port        *standin.Port
	server      *http.Server
	accepted    chan net.Conn
	maxConns    int // connections open at a time; no limit if zero
	connectTime time.Duration
	conns       *table.Guarded[connTable]
	tasks       sync.WaitGroup
	done        chan struct{}
	closeOnce   sync.Once
}

type connTable struct {
	open            map[*conn]struct{}
	maxOpen         int
	closedOverLimit int
}

func newEndpoint(listen standin.ListenFunc, h http.Handler, maxConns int, connectTime time.Duration) *endpoint {
	e := &endpoint{
		accepted: make(chan net.Conn), maxConns: maxConns, connectTime: connectTime, done: make(chan struct{}),
		conns: table.NewGuarded(standin.RankEndpoint, connTable{open: map[*conn]struct{}{}}),
	}
	e.port = standin.NewPort(listen, e.accept)
	e.server = &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, ConnContext: withConn}
	return e
}

// open starts accepting connections.
func (e *endpoint) open() (net.Addr, error) {
	address, err := e.port.Open()
	if err != nil {
		return nil, err
	}
	e.tasks.Go(func() { _ = e.server.Serve(&connQueue{e, address}) }) // returns ErrServerClosed on close
	return address, nil
}

// refuseConnections closes every connection except the silenced ones, and refuses new ones.
func (e *endpoint) refuseConnections() {
	e.port.RefuseConnections()
	for _, c := range e.openConns() {
		_ = c.Close()
	}
}

// reopen accepts connections again.
func (e *endpoint) reopen() {
	e.port.Reopen()
}

// silence makes the open connections neither transfer data nor close from now on.
func (e *endpoint) silence() {
	for _, c := range e.openConns() {
		if !c.silenced.Swap(true) {
			e.tasks.Go(c.discard)
		}
	}
}

// close closes every connection, including the silenced ones, and waits for the endpoint's goroutines.
func (e *endpoint) close() {
	e.closeOnce.Do(func() {
		close(e.done)
		e.port.Close()
		_ = e.server.Close()
		for _, c := range e.openConns() {
			c.forceClose()
		}
	})
	e.tasks.Wait()
}

// counts returns the number of open connections, its maximum so far, and the number closed because of the limit.
func (e *endpoint) counts() (open, maximum, over int) {
	e.conns.With(func(t *connTable) { open, maximum, over = len(t.open), t.maxOpen, t.closedOverLimit })
	return open, maximum, over
}

// accept passes a connection to the HTTP server, or closes it if the limit is reached.
func (e *endpoint) accept(nc net.Conn) {
	c := &conn{Conn: nc, readyAt: time.Now().Add(e.connectTime), done: make(chan struct{}), onClose: e.removeConn}
	admitted := false
	e.conns.With(func(t *connTable) {
		if admitted = e.maxConns == 0 || len(t.open) < e.maxConns; !admitted {
			t.closedOverLimit++
			return
		}
		t.open[c] = struct{}{}
		t.maxOpen = max(t.maxOpen, len(t.open))
	})
	if !admitted {
		_ = nc.Close()
		return
	}
	select {
	case e.accepted <- c:
	case <-e.done:
		c.forceClose()
	}
}

func (e *endpoint) removeConn(c *conn) {
	e.conns.With(func(t *connTable) { delete(t.open, c) })
}

func (e *endpoint) openConns() []*conn {
	return table.WithResult(e.conns, func(t *connTable) []*conn {
		all := make([]*conn, 0, len(t.open))
		for c := range t.open {
			all = append(all, c)
		}
		return all
	})
}

// connQueue is the HTTP server's listener; it stays open while the port refuses connections.
type connQueue struct {
	endpoint *endpoint
	address  net.Addr
}

// Accept returns the next connection.
func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case c := <-q.endpoint.accepted:
		return c, nil
	case <-q.endpoint.done:
		return nil, net.ErrClosed
	}
}

// Close does nothing; the endpoint closes the port.
func (q *connQueue) Close() error { return nil }

// Addr returns the port's address.
func (q *connQueue) Addr() net.Addr { return q.address }

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// isSilenced reports whether the request's connection is silenced.
func isSilenced(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.silenced.Load()
}
