package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// conn is one connection; a goroutine of its own reads it, so that an end or an answer that nobody
// asked for is noticed while it is idle.
type conn struct {
	pool    *Pool
	address netip.AddrPort
	nc      net.Conn

	idleSince time.Time     // guarded by the pool's lock
	idleLimit time.Duration // 0 if the upstream told none; set by the reading goroutine before park

	mu       sync.Mutex
	exchange *Exchange
	written  bool // the exchange is sent
	answered bool // its answer is in
	broken   bool
}

func newConn(p *Pool, address netip.AddrPort, nc net.Conn) *conn {
	return &conn{pool: p, address: address, nc: nc}
}

// usable reports whether the upstream can be expected to keep the idle connection open.
func (c *conn) usable(now time.Time) bool {
	return c.idleLimit == 0 || now.Sub(c.idleSince) < c.idleLimit
}

// send writes the exchange's request.
func (c *conn) send(e *Exchange) {
	c.mu.Lock()
	if c.broken {
		c.mu.Unlock()
		e.finish(Response{}, Unreachable)
		return
	}
	c.exchange, c.written, c.answered = e, false, false
	c.mu.Unlock()
	if _, err := c.nc.Write(encode(e.call)); err != nil {
		c.fail(ConnectionLost)
		return
	}
	c.settle(func() { c.written = true })
}

// settle notes that one side of the exchange is over; the second one frees the connection. An answer
// that comes before the whole request is written must not free it, because the rest is still due.
func (c *conn) settle(note func()) {
	c.mu.Lock()
	note()
	free := c.written && c.answered && !c.broken
	if free {
		c.exchange = nil
	}
	c.mu.Unlock()
	if free {
		c.pool.park(c)
	}
}

// current returns the exchange that waits for an answer.
func (c *conn) current() *Exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answered {
		return nil
	}
	return c.exchange
}

// read takes in answers until the connection ends.
func (c *conn) read() {
	br := bufio.NewReaderSize(c.nc, readSize)
	for {
		if _, err := br.Peek(1); err != nil {
			c.fail(ConnectionLost)
			return
		}
		e := c.current()
		if e == nil {
			c.pool.count(func(n *Counts) { n.Unsolicited++ })
			c.fail(ConnectionLost)
			return
		}
		if !c.answer(br, e) {
			return
		}
	}
}

// answer reads one answer and reports whether the connection can be used further.
func (c *conn) answer(br *bufio.Reader, e *Exchange) bool {
	resp, err := readResponse(br, e.call.Method)
	if err != nil {
		c.fail(failureOf(err))
		return false
	}
	if resp.Status < http.StatusOK {
		return true
	}
	if e.call.MatchResponse != nil && !e.call.MatchResponse(resp.Header) {
		c.pool.count(func(n *Counts) { n.Skipped++ })
		return true
	}
	keep := !resp.close && br.Buffered() == 0
	c.idleLimit = idleLimit(resp.Header)
	if !keep {
		c.breakOff()
	}
	c.settle(func() { c.answered = true })
	e.finish(resp.Response, NoFailure)
	return keep
}

// fail ends the connection and the exchange on it.
func (c *conn) fail(f Failure) {
	c.mu.Lock()
	e := c.exchange
	if c.answered {
		e = nil
	}
	c.mu.Unlock()
	c.breakOff()
	if e != nil {
		e.finish(Response{}, f)
	}
}

// expire closes the connection if the exchange is still under way on it.
func (c *conn) expire(e *Exchange) {
	c.mu.Lock()
	pending := c.exchange == e && !c.answered
	c.mu.Unlock()
	if pending {
		c.breakOff()
	}
}

// breakOff closes the connection once.
func (c *conn) breakOff() {
	c.mu.Lock()
	broken := c.broken
	c.broken = true
	c.mu.Unlock()
	if broken {
		return
	}
	_ = c.nc.Close() // nothing is buffered, so a failed close loses nothing
	c.pool.discard(c)
	c.pool.release(c.address)
}

// answerRead is an answer with what it says of its connection.
type answerRead struct {
	Response
	close bool
}

var errTooLarge = errors.New("the answer is larger than allowed")

// readResponse reads one whole answer. One without a length ends with its connection.
func readResponse(br *bufio.Reader, method string) (answerRead, error) {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return answerRead{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readBody(resp)
	if err != nil {
		return answerRead{}, err
	}
	r := Response{Status: resp.StatusCode, Header: resp.Header, Body: body}
	return answerRead{Response: r, close: resp.Close}, nil
}

func readBody(resp *http.Response) ([]byte, error) {
	if n := resp.ContentLength; n >= 0 && n <= maxBody {
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = errTooLarge
	}
	return body, err
}

// failureOf tells a connection that ended from bytes that are no answer.
func failureOf(err error) Failure {
	var network net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) {
		return ConnectionLost
	}
	return MalformedResponse
}

// idleLimit returns how long the upstream keeps an idle connection, 0 if it does not tell.
func idleLimit(h http.Header) time.Duration {
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

// encode writes the request as it goes over the connection.
func encode(call *Call) []byte {
	b := make([]byte, 0, 256+len(call.Body))
	b = append(b, call.Method...)
	b = append(b, ' ')
	b = append(b, call.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendHeader(b, "Host", call.Host)
	for _, h := range call.Header {
		b = appendHeader(b, h.Name, h.Value)
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
