package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// upstream answers the requests on its connections by scripts: one list of steps for each connection.
type upstream struct {
	listener net.Listener
	scripts  [][]string
	work     sync.WaitGroup

	mu       sync.Mutex
	accepted int
	requests []string
	conns    []net.Conn
}

func newUpstream(t *testing.T, scripts [][]string) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{listener: l, scripts: scripts}
	u.work.Go(u.accept)
	return u
}

func (u *upstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		n := u.accepted
		u.accepted++
		u.conns = append(u.conns, c)
		u.mu.Unlock()
		if n < len(u.scripts) {
			u.work.Go(func() { u.serve(c, u.scripts[n]) })
		}
	}
}

// serve carries out the steps: read, a quoted answer, body (reads the rest of the request), reset, close.
func (u *upstream) serve(c net.Conn, steps []string) {
	br := bufio.NewReader(c)
	for _, s := range steps {
		switch {
		case s == "read":
			u.read(br)
		case s == "body":
			_, _ = io.CopyN(io.Discard, br, 1<<20)
		case s == "reset":
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		case s == "close":
			_ = c.Close()
		default:
			_, _ = io.WriteString(c, strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(s))
		}
	}
}

// read takes in the header of one request.
func (u *upstream) read(br *bufio.Reader) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests = append(u.requests, r.Method+" "+r.RequestURI)
}

func (u *upstream) close() {
	_ = u.listener.Close()
	u.mu.Lock()
	for _, c := range u.conns {
		_ = c.Close()
	}
	u.mu.Unlock()
	u.work.Wait()
}

// TestScripts guards against upstreams that answer twice, late, early, in part or not at all: no answer
// reaches another request, none that was cut short looks whole, and nothing is sent twice.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/upstream.txt", func(t *testing.T, d *datadriven.TestData) string {
		connections, calls, _ := strings.Cut(d.Input, "--\n")
		var scripts [][]string
		for _, line := range strings.Split(strings.TrimSpace(connections), "\n") {
			scripts = append(scripts, strings.Split(line, " | "))
		}
		u := newUpstream(t, scripts)
		p := New(nil)
		address := netip.MustParseAddrPort(u.listener.Addr().String())
		var out strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(calls), "\n") {
			out.WriteString(call(p, address, line) + "\n")
		}
		p.Close()
		u.close()
		fmt.Fprintf(&out, "connections %d, requests %s\n", u.accepted, strings.Join(u.requests, ", "))
		return out.String()
	})
}

// call makes one call: its id, and the size of its body in bytes.
func call(p *Pool, address netip.AddrPort, line string) string {
	var id string
	var size int
	fmt.Sscan(line, &id, &size)
	c := &Call{Method: "GET", Target: "/" + id, Host: "h", Body: make([]byte, size), Header: []Header{{"Id", id}}}
	c.MatchResponse = func(h http.Header) bool { return h.Get("Id") == "" || h.Get("Id") == id }
	type end struct {
		r Response
		f Failure
	}
	done := make(chan end, 1)
	p.Start(address, 4, c, func(r Response, f Failure) { done <- end{r, f} })
	e := <-done
	if e.f != NoFailure {
		return fmt.Sprintf("%s: %v, sent %t", id, e.f, e.f.MayHaveBeenSent())
	}
	waitParked(p)
	return fmt.Sprintf("%s: %d %q", id, e.r.Status, e.r.Body)
}

// waitParked waits until no exchange is under way, so that the next call finds what it would find later.
func waitParked(p *Pool) {
	until(func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, h := range p.hosts {
			if h.open != len(h.idle) {
				return false
			}
		}
		return true
	})
}

// until looks at a condition every millisecond until it holds, for 5 s at most.
func until(holds func() bool) {
	look := time.NewTicker(time.Millisecond)
	defer look.Stop()
	end := time.After(5 * time.Second)
	for !holds() {
		select {
		case <-look.C:
		case <-end:
			return
		}
	}
}

// held is a server whose answers wait for the test.
type held struct {
	server  *http.Server
	address netip.AddrPort
	answer  chan struct{}
	gone    chan struct{}
}

func newHeld(t *testing.T) *held {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &held{address: netip.MustParseAddrPort(l.Addr().String()), answer: make(chan struct{}, 8), gone: make(chan struct{}, 8)}
	h.server = &http.Server{Handler: h}
	go func() { _ = h.server.Serve(l) }()
	return h
}

// ServeHTTP answers when the test says so.
func (h *held) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-h.answer:
		w.WriteHeader(http.StatusNoContent)
	case <-r.Context().Done():
		h.gone <- struct{}{}
	}
}

// TestWaiting guards that a call beyond the limit waits for a connection and is served by the next free one.
func TestWaiting(t *testing.T) {
	h := newHeld(t)
	p := New(nil)
	done := make(chan Failure, 3)
	for range 3 {
		p.Start(h.address, 1, &Call{Method: "GET", Target: "/", Host: "h"}, func(_ Response, f Failure) { done <- f })
	}
	for range 3 {
		h.answer <- struct{}{}
		if got := <-done; got != NoFailure {
			t.Errorf("got %v, want an answer", got)
		}
	}
	if got := p.Counts(); got.Dialed != 1 || got.Waited != 2 {
		t.Errorf("got %+v, want one connection and two calls that waited", got)
	}
	p.Close()
	_ = h.server.Close()
}

// TestMaxIdle guards that a call that must not be lost is not sent on a connection that was idle for long.
func TestMaxIdle(t *testing.T) {
	h := newHeld(t)
	p := New(nil)
	done := make(chan Failure, 1)
	for _, most := range []time.Duration{0, 0, time.Nanosecond} {
		h.answer <- struct{}{}
		p.Start(h.address, 4, &Call{Method: "GET", Target: "/", Host: "h", MaxIdleTime: most}, func(_ Response, f Failure) { done <- f })
		if got := <-done; got != NoFailure {
			t.Errorf("got %v, want an answer", got)
		}
		waitParked(p)
	}
	if got := p.Counts(); got.Dialed != 2 || got.Reused != 1 {
		t.Errorf("got %+v, want the third call on a connection of its own", got)
	}
	p.Close()
	_ = h.server.Close()
}

// TestClose guards that the upstream learns at once that nobody waits, and that a call that waits for a
// connection is never sent once it was given up.
func TestClose(t *testing.T) {
	h := newHeld(t)
	p := New(nil)
	first := p.Start(h.address, 1, &Call{Method: "GET", Target: "/", Host: "h"}, func(Response, Failure) { t.Error("got an end of a closed exchange") })
	second := p.Start(h.address, 1, &Call{Method: "GET", Target: "/", Host: "h"}, func(Response, Failure) { t.Error("got an end of a closed exchange") })
	second.Cancel()
	until(func() bool { return first.current() != nil })
	first.Cancel()
	<-h.gone
	if got := p.Counts().Dialed; got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
	p.Close()
	_ = h.server.Close()
}

// current returns the connection of the exchange.
func (e *Exchange) current() *conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conn
}

// TestUnreachable guards that a refused connection counts as not sent.
func TestUnreachable(t *testing.T) {
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }
	p := New(refuse)
	done := make(chan Failure, 1)
	p.Start(netip.MustParseAddrPort("127.0.0.1:1"), 1, &Call{Method: "GET", Target: "/", Host: "h"}, func(_ Response, f Failure) { done <- f })
	if got := <-done; got != Unreachable || got.MayHaveBeenSent() {
		t.Errorf("got %v, sent %t, want unreachable and not sent", got, got.MayHaveBeenSent())
	}
	p.Close()
}
