package http1

import (
	"bufio"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// conn is one connection. Its own goroutine reads from it, so that a close by the upstream or an unsolicited
// response is noticed while the connection is idle.
type conn struct {
	pool    *Pool
	address netip.AddrPort
	nc      net.Conn

	idleSince time.Time     // guarded by the pool's lock
	idleLimit time.Duration // 0 if the upstream gave none; set by the reading goroutine before park

	carried    []uint64      // hashes of the IDs of the last calls; changed by send, read by the pool while no call has the connection
	skipped    int           // responses skipped since the last one that belonged to a call; used by the reading goroutine
	signatures []string      // of the last responses that named no call; used by the reading goroutine
	done       chan struct{} // closed with the connection

	mu             sync.Mutex
	exchange       *Exchange
	requestWritten bool
	responseRead   bool
	closed         bool
}

func newConn(p *Pool, address netip.AddrPort, nc net.Conn) *conn {
	return &conn{pool: p, address: address, nc: nc, done: make(chan struct{})}
}

// isUsable reports whether the upstream should still have the idle connection open.
func (c *conn) isUsable(now time.Time) bool {
	return c.idleLimit == 0 || now.Sub(c.idleSince) < c.idleLimit
}

// idSeed is the seed of the hashes of call IDs.
var idSeed = maphash.MakeSeed()

// hasCarried reports whether the connection has carried a call with the ID.
func (c *conn) hasCarried(id string) bool {
	return id != "" && slices.Contains(c.carried, maphash.String(idSeed, id))
}

// recordCarried records the ID of a call that the connection carries from now on.
func (c *conn) recordCarried(id string) {
	if id == "" {
		return
	}
	if len(c.carried) == maxCarriedIDs {
		c.carried = slices.Delete(c.carried, 0, 1)
	}
	c.carried = append(c.carried, maphash.String(idSeed, id))
}

// send writes the request of the exchange, unless it may no longer be sent.
func (c *conn) send(e *Exchange) {
	if !e.mayBeSent() {
		e.finish(Response{}, NotSent)
		c.pool.park(c)
		return
	}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		e.finish(Response{}, Unreachable)
		return
	}
	c.exchange, c.requestWritten, c.responseRead = e, false, false
	c.mu.Unlock()
	c.recordCarried(e.call.ID)
	if _, err := c.nc.Write(encodeRequest(e.call, time.Now())); err != nil {
		c.fail(ConnectionLost)
		return
	}
	c.update(func() { c.requestWritten = true })
}

// update calls set, which marks the request as written or the response as read, and parks the connection once
// both are done. A response that comes before the request is completely written must not free the connection,
// because the rest of the request still follows.
func (c *conn) update(set func()) {
	c.mu.Lock()
	set()
	free := c.requestWritten && c.responseRead && !c.closed
	if free {
		c.exchange = nil
	}
	c.mu.Unlock()
	if free {
		c.pool.park(c)
	}
}

// pendingExchange returns the exchange that waits for a response, or nil.
func (c *conn) pendingExchange() *Exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responseRead {
		return nil
	}
	return c.exchange
}

// readLoop reads responses until the connection ends. After a panic the pending exchange ends as malformed.
func (c *conn) readLoop() {
	c.pool.onPanic.Run(c.readResponses)
	c.fail(MalformedResponse)
}

func (c *conn) readResponses() {
	limited := &limitedReader{r: c.nc}
	br := bufio.NewReaderSize(limited, readBufferSize)
	for {
		limited.startResponse()
		if _, err := br.Peek(1); err != nil {
			c.fail(ConnectionLost)
			return
		}
		e := c.pendingExchange()
		if e == nil {
			c.pool.count(func(n *Counts) { n.Unsolicited++ })
			c.fail(ConnectionLost)
			return
		}
		if !c.handleResponse(br, limited, e) {
			return
		}
	}
}

// admitLarge counts the response of an exchange as unfinished. If there are too many, it gives up the one that has been
// read for longest.
func (c *conn) admitLarge(e *Exchange) {
	longest, tooMany := c.pool.unfinished.add(unfinishedResponse{c, e})
	if !tooMany {
		return
	}
	c.countOversized(errTooLarge)
	longest.conn.closeIfPending(longest.exchange)
	longest.exchange.finish(Response{}, MalformedResponse)
}

// handleResponse reads one response and reports whether the connection can be read further.
func (c *conn) handleResponse(br *bufio.Reader, limited *limitedReader, e *Exchange) bool {
	if !e.call.LargeResponse {
		limited.onLarge = func() { c.admitLarge(e) }
		defer c.pool.unfinished.remove(e)
	}
	resp, err := c.readResponse(br, limited, e.call)
	if err != nil {
		c.countOversized(err)
		c.fail(failureOf(err))
		return false
	}
	if resp.Status < http.StatusOK {
		return c.skip()
	}
	if e.call.Observe != nil {
		e.call.Observe(resp.Status, resp.Header)
	}
	id := e.call.identify(resp.Header)
	if id.Match == OtherCall || c.isCopy(id) {
		c.pool.count(func(n *Counts) { n.Skipped++ })
		return c.skip()
	}
	c.skipped = 0
	keep := c.remember(id) && !resp.close && br.Buffered() == 0
	c.idleLimit = keepAliveTimeout(resp.Header)
	if !keep {
		c.close()
	}
	c.update(func() { c.responseRead = true })
	e.finish(resp.Response, NoFailure)
	return keep
}

// identify tells to which call a response belongs.
func (call *Call) identify(h http.Header) Identity {
	if call.Identify == nil {
		return Identity{Match: ThisCall}
	}
	return call.Identify(h)
}

// isCopy reports whether the response is a second copy of one that named no call.
func (c *conn) isCopy(id Identity) bool {
	return id.Match == NoCall && slices.Contains(c.signatures, id.Signature)
}

// remember makes a late copy of the response recognizable. It returns false if that is impossible, because the response
// neither names a call nor has a signature: the connection must not carry another call then.
func (c *conn) remember(id Identity) bool {
	if id.Match != NoCall {
		return true
	}
	if id.Signature == "" {
		return false
	}
	if len(c.signatures) == maxSignatures {
		c.signatures = c.signatures[1:]
	}
	c.signatures = append(c.signatures, id.Signature)
	return true
}

// skip counts a skipped response. It closes the connection and returns false if the upstream has sent too many.
func (c *conn) skip() bool {
	c.skipped++
	if c.skipped <= maxSkippedResponses {
		return true
	}
	c.countOversized(errTooLarge)
	c.fail(MalformedResponse)
	return false
}

// countOversized counts a response that exceeded a limit.
func (c *conn) countOversized(err error) {
	if errors.Is(err, errTooLarge) {
		c.pool.count(func(n *Counts) { n.Oversized++ })
	}
}

// fail closes the connection and ends the pending exchange with f.
func (c *conn) fail(f Failure) {
	c.mu.Lock()
	e := c.exchange
	if c.responseRead {
		e = nil
	}
	c.mu.Unlock()
	c.close()
	if e != nil {
		e.finish(Response{}, f)
	}
}

// closeIfPending closes the connection if the exchange still waits for a response on it.
func (c *conn) closeIfPending(e *Exchange) {
	c.closeIf(func() bool { return c.exchange == e && !c.responseRead })
}

// isClosed reports whether the connection is closed.
func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// close closes the connection and removes it from the pool; only the first call has an effect.
func (c *conn) close() {
	c.closeIf(func() bool { return true })
}

// closeIf closes the connection if it is open and the condition holds. It calls the condition with the lock held, so that
// the connection cannot be parked and given to another call in between.
func (c *conn) closeIf(holds func() bool) {
	c.mu.Lock()
	if c.closed || !holds() {
		c.mu.Unlock()
		return
	}
	c.closed = true
	c.mu.Unlock()
	close(c.done)
	_ = c.nc.Close() // nothing is buffered, so a failed close loses no data
	c.pool.removeIdle(c)
	c.pool.release(c.address)
}

// failureOf distinguishes a lost connection from a malformed response.
func failureOf(err error) Failure {
	var netErr net.Error
	if errors.Is(err, errTooLarge) {
		return MalformedResponse
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) {
		return ConnectionLost
	}
	return MalformedResponse
}

// keepAliveTimeout returns how long the upstream keeps an idle connection open, less idleMargin; 0 if the header
// does not say.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n > 0 {
			return max(time.Duration(n)*time.Second-idleMargin, time.Millisecond)
		}
	}
	return 0
}

// encodeRequest returns the bytes of the request on the connection, when it is sent at now.
func encodeRequest(call *Call, now time.Time) []byte {
	b := make([]byte, 0, 256+len(call.Body))
	b = append(b, call.Method...)
	b = append(b, ' ')
	b = append(b, call.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendHeader(b, "Host", call.Host)
	for _, h := range call.Header {
		b = appendHeader(b, h.Name, h.Value)
	}
	if call.SendHeader != nil {
		for _, h := range call.SendHeader(now) {
			b = appendHeader(b, h.Name, h.Value)
		}
	}
	if len(call.Body) > 0 || (call.Method != http.MethodGet && call.Method != http.MethodHead) {
		b = appendHeader(b, "Content-Length", strconv.Itoa(len(call.Body)))
	}
	b = append(b, "\r\n"...)
	return append(b, call.Body...)
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
