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

// readHeaderTimeout bounds how long a client may take to send a request's headers.
const readHeaderTimeout = 5 * time.Second

// endpoint holds the connections of one upstream.
type endpoint struct {
	port        *standin.Port
	server      *http.Server
	accepted    chan net.Conn
	limit       int // connections held at a time; no limit if zero
	connectTime time.Duration
	conns       *table.Guarded[connTable]
	tasks       sync.WaitGroup
	done        chan struct{}
	closing     sync.Once
}

type connTable struct {
	open    map[*conn]struct{}
	maximum int
	over    int
}

func newEndpoint(listen standin.ListenFunc, h http.Handler, limit int, connectTime time.Duration) *endpoint {
	e := &endpoint{
		accepted: make(chan net.Conn), limit: limit, connectTime: connectTime, done: make(chan struct{}),
		conns: table.NewGuarded(standin.RankEndpoint, connTable{open: map[*conn]struct{}{}}),
	}
	e.port = standin.NewPort(listen, e.accept)
	e.server = &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, ConnContext: withConn}
	return e
}

// open starts to accept connections.
func (e *endpoint) open() (net.Addr, error) {
	address, err := e.port.Open()
	if err != nil {
		return nil, err
	}
	e.tasks.Go(func() { _ = e.server.Serve(&connQueue{e, address}) }) // ends with ErrServerClosed
	return address, nil
}

// refuse closes every connection that is not silent and refuses new ones.
func (e *endpoint) refuse() {
	e.port.RefuseConnections()
	for _, c := range e.list() {
		_ = c.Close()
	}
}

// reopen accepts connections again.
func (e *endpoint) reopen() {
	e.port.Reopen()
}

// silence makes the present connections neither deliver nor close from now on.
func (e *endpoint) silence() {
	for _, c := range e.list() {
		if !c.silent.Swap(true) {
			e.tasks.Go(c.discard)
		}
	}
}

// close ends every connection, silent ones included, and waits for the goroutines.
func (e *endpoint) close() {
	e.closing.Do(func() {
		close(e.done)
		e.port.Close()
		_ = e.server.Close()
		for _, c := range e.list() {
			c.end()
		}
	})
	e.tasks.Wait()
}

// counts returns the connections held now, the most held at a time and those closed over the limit.
func (e *endpoint) counts() (open, maximum, over int) {
	e.conns.With(func(t *connTable) { open, maximum, over = len(t.open), t.maximum, t.over })
	return open, maximum, over
}

// accept hands a connection to the server, or closes it if the limit is reached.
func (e *endpoint) accept(nc net.Conn) {
	c := &conn{Conn: nc, ready: time.Now().Add(e.connectTime), done: make(chan struct{}), release: e.release}
	held := false
	e.conns.With(func(t *connTable) {
		if held = e.limit == 0 || len(t.open) < e.limit; !held {
			t.over++
			return
		}
		t.open[c] = struct{}{}
		t.maximum = max(t.maximum, len(t.open))
	})
	if !held {
		_ = nc.Close()
		return
	}
	select {
	case e.accepted <- c:
	case <-e.done:
		c.end()
	}
}

func (e *endpoint) release(c *conn) {
	e.conns.With(func(t *connTable) { delete(t.open, c) })
}

func (e *endpoint) list() []*conn {
	return table.WithResult(e.conns, func(t *connTable) []*conn {
		all := make([]*conn, 0, len(t.open))
		for c := range t.open {
			all = append(all, c)
		}
		return all
	})
}

// connQueue is the listener of the server; it goes on while the port refuses connections.
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

// isSilent reports whether the request came on a connection that went silent.
func isSilent(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.silent.Load()
}
