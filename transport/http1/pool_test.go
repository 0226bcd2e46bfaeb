package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"runtime/metrics"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/goleak"
)

// TestMain guards against goroutines that Close leaves behind.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// scriptedUpstream follows a script of steps on each of its connections.
type scriptedUpstream struct {
	listener net.Listener
	scripts  [][]string
	work     sync.WaitGroup

	mu       sync.Mutex
	accepted int
	requests []string
	conns    []net.Conn
}

func newScriptedUpstream(t *testing.T, scripts [][]string) *scriptedUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &scriptedUpstream{listener: l, scripts: scripts}
	u.work.Go(u.accept)
	return u
}

func (u *scriptedUpstream) accept() {
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

// serve runs the steps of a script: read, body (reads the rest of the request), reset, close, endless (writes the rest
// of the step until the caller closes the connection), or else a response to write.
func (u *scriptedUpstream) serve(c net.Conn, steps []string) {
	br := bufio.NewReader(c)
	for _, s := range steps {
		switch {
		case s == "read":
			u.readRequest(br)
		case s == "body":
			_, _ = io.CopyN(io.Discard, br, 1<<20)
		case s == "reset":
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		case s == "close":
			_ = c.Close()
		case strings.HasPrefix(s, "endless "):
			u.writeEndless(c, strings.Repeat(unescape(strings.TrimPrefix(s, "endless ")), 64))
		default:
			_, _ = io.WriteString(c, unescape(s))
		}
	}
}

// unescape replaces the escaped line ends of a script.
func unescape(s string) string {
	return strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(s)
}

// writeEndless writes the text until the caller closes the connection.
func (u *scriptedUpstream) writeEndless(c net.Conn, text string) {
	for {
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// readRequest reads the header of one request and records its request line.
func (u *scriptedUpstream) readRequest(br *bufio.Reader) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests = append(u.requests, r.Method+" "+r.RequestURI)
}

func (u *scriptedUpstream) close() {
	u.stop()
	u.work.Wait()
}

func (u *scriptedUpstream) stop() {
	_ = u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		_ = c.Close()
	}
}

// TestScripts guards against responses that reach another request, those that name no request included, truncated responses that pass as complete
// ones, requests that are sent twice, and responses that are read without end, when an upstream answers twice, late,
// early, in part, without end or not at all.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", runScript)
}

// runScript runs the scripts of one file.
func runScript(t *testing.T, path string) {
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		connections, calls, _ := strings.Cut(d.Input, "--\n")
		var scripts [][]string
		for _, line := range strings.Split(strings.TrimSpace(connections), "\n") {
			scripts = append(scripts, strings.Split(line, " | "))
		}
		u := newScriptedUpstream(t, scripts)
		p := New(nil)
		address := netip.MustParseAddrPort(u.listener.Addr().String())
		var out strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(calls), "\n") {
			switch line {
			case "probe":
				out.WriteString(runProbe(p, address) + "\n")
			case "stop": // refuses further connections and closes the open ones
				u.stop()
			default:
				out.WriteString(runCall(p, address, line) + "\n")
			}
		}
		p.Close()
		u.close()
		fmt.Fprintf(&out, "connections %d, requests %s\n", u.accepted, strings.Join(u.requests, ", "))
		return out.String()
	})
}

// TestEndlessMemory guards against upstreams that fill the memory of the VM with responses that do not end. Each of many
// connections may hold one head or small body, and a few may hold a large body.
func TestEndlessMemory(t *testing.T) {
	const connections = 12
	const want = 92 << 20 // half of the memory of the smallest VM, which is what a VM uses at most
	for _, response := range []string{
		`HTTP/1.1 200 OK\r\nX: | endless yyyyyyyyyyyyyyyy`,
		`HTTP/1.1 200 OK\r\n\r\n | endless yyyyyyyyyyyyyyyy`,
		`HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n | endless yyyyyyyyyyyyyyyy`,
	} {
		var scripts [][]string
		for range connections {
			scripts = append(scripts, append([]string{"read"}, strings.Split(response, " | ")...))
		}
		u := newScriptedUpstream(t, scripts)
		p := New(nil)
		address := netip.MustParseAddrPort(u.listener.Addr().String())
		before, peak := liveHeap(), uint64(0)
		done := make(chan struct{}, connections)
		for range connections {
			p.Start(address, connections, &Call{Method: "GET", Target: "/", Host: "h"}, func(Response, Failure) { done <- struct{}{} })
		}
		for range connections {
			<-done
			peak = max(peak, liveHeap())
		}
		p.Close()
		u.close()
		if peak > before+want {
			t.Errorf("%s: got %d bytes of heap, want at most %d", response, peak-before, want)
		}
	}
}

// TestStalledMemory guards against upstreams that fill the memory of the VM with many responses that stall below the limits
// of a single one, in the head or in the body, and against sound responses that are given up for them.
func TestStalledMemory(t *testing.T) {
	const connections = 2 * maxUnfinished
	const want = 46 << 20 // a quarter of the memory of the smallest VM
	filler := strings.Repeat("x", smallBody-8<<10)
	for _, response := range []string{`HTTP/1.1 200 OK\r\nX: `, `HTTP/1.1 200 OK\r\n\r\n`, `HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n`} {
		stalling := newScriptedUpstream(t, slices.Repeat([][]string{{"read", response + filler, "body"}}, connections))
		sound := newScriptedUpstream(t, [][]string{{"read", `HTTP/1.1 200 OK\r\n\r\n` + filler, "close"}})
		p := New(nil)
		before := liveHeap()
		var stalled []*Exchange
		for range connections {
			call := &Call{Method: "GET", Target: "/", Host: "h"}
			stalled = append(stalled, p.Start(netip.MustParseAddrPort(stalling.listener.Addr().String()), connections, call, func(Response, Failure) {}))
		}
		waitUntil(func() bool {
			return p.unfinished.size() == maxUnfinished && p.Counts().Oversized == connections-maxUnfinished
		})
		if got := liveHeap() - before; got > want {
			t.Errorf("%s: got %d bytes of heap, want at most %d", response, got, want)
		}
		done := make(chan Failure, 1)
		p.Start(netip.MustParseAddrPort(sound.listener.Addr().String()), 1, &Call{Method: "GET", Target: "/", Host: "h"}, func(_ Response, f Failure) { done <- f })
		if got := <-done; got != NoFailure {
			t.Errorf("%s: got %v, want the response of a sound upstream", response, got)
		}
		for _, e := range stalled {
			e.Cancel()
		}
		p.Close()
		stalling.close()
		sound.close()
	}
}

// TestLargeResponse guards against an expected large response that is delayed by upstreams with bodies that do not end, as
// these hold all places for large bodies.
func TestLargeResponse(t *testing.T) {
	unending := newScriptedUpstream(t, slices.Repeat([][]string{{"read", `HTTP/1.1 200 OK\r\n\r\n`, strings.Repeat("x", 2*smallBody), "body"}}, maxLargeBodies))
	sound := newScriptedUpstream(t, [][]string{{"read", `HTTP/1.1 200 OK\r\nContent-Length: ` + strconv.Itoa(2*smallBody) + `\r\n\r\n`, strings.Repeat("y", 2*smallBody)}})
	p := New(nil)
	var held []*Exchange
	for range maxLargeBodies {
		call := &Call{Method: "GET", Target: "/", Host: "h"}
		held = append(held, p.Start(netip.MustParseAddrPort(unending.listener.Addr().String()), maxLargeBodies, call, func(Response, Failure) {}))
	}
	waitUntil(func() bool { return len(p.largeBodies) == maxLargeBodies })
	done := make(chan Failure, 1)
	call := &Call{Method: "GET", Target: "/", Host: "h", LargeResponse: true}
	p.Start(netip.MustParseAddrPort(sound.listener.Addr().String()), 1, call, func(_ Response, f Failure) { done <- f })
	select {
	case got := <-done:
		if got != NoFailure {
			t.Errorf("got %v, want a response", got)
		}
	case <-time.After(5 * time.Second):
		t.Error("got no response after 5 s, want one although the places for large bodies are held")
	}
	for _, e := range held {
		e.Cancel()
	}
	p.Close()
	unending.close()
	sound.close()
}

// liveHeap returns the number of bytes in use on the heap after a collection.
func liveHeap() uint64 {
	runtime.GC()
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// runProbe probes the upstream, to which at most one connection may be open, and describes the result.
func runProbe(p *Pool, address netip.AddrPort) string {
	done := make(chan Failure, 1)
	p.Probe(address, 1, func(f Failure) { done <- f })
	return fmt.Sprintf("probe %v, open %d", <-done, p.Counts().Open)
}

// runCall makes the call that a line describes by its id and the size of its body in bytes.
func runCall(p *Pool, address netip.AddrPort, line string) string {
	var id string
	var size int
	fmt.Sscan(line, &id, &size)
	c := &Call{ID: id, Method: "GET", Target: "/" + id, Host: "h", Body: make([]byte, size), Header: []Header{{"Id", id}}}
	c.Identify = func(h http.Header) Identity {
		switch h.Get("Id") {
		case "":
			return Identity{Match: NoCall, Signature: h.Get("Signature")}
		case id:
			return Identity{Match: ThisCall}
		default:
			return Identity{Match: OtherCall}
		}
	}
	type exchangeResult struct {
		r Response
		f Failure
	}
	done := make(chan exchangeResult, 1)
	p.Start(address, 4, c, func(r Response, f Failure) { done <- exchangeResult{r, f} })
	res := <-done
	if res.f != NoFailure {
		return fmt.Sprintf("%s: %v, sent %t", id, res.f, res.f.MayHaveBeenSent())
	}
	waitIdle(p)
	return fmt.Sprintf("%s: %d %q", id, res.r.Status, res.r.Body)
}

// waitIdle waits until all connections are idle, so that the next call does not depend on timing.
func waitIdle(p *Pool) {
	waitUntil(func() bool {
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

// waitUntil checks a condition every millisecond until it holds, for 5 s at most.
func waitUntil(holds func() bool) {
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	timeout := time.After(5 * time.Second)
	for !holds() {
		select {
		case <-tick.C:
		case <-timeout:
			return
		}
	}
}

// blockingServer answers a request only when the test allows it.
type blockingServer struct {
	server     *http.Server
	address    netip.AddrPort
	answer     chan struct{}
	clientGone chan struct{}
}

func newBlockingServer(t *testing.T) *blockingServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &blockingServer{address: netip.MustParseAddrPort(l.Addr().String()), answer: make(chan struct{}, 8), clientGone: make(chan struct{}, 8)}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s
}

// ServeHTTP waits until the test allows an answer or the client is gone.
func (s *blockingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-s.answer:
		w.WriteHeader(http.StatusNoContent)
	case <-r.Context().Done():
		s.clientGone <- struct{}{}
	}
}

// TestWaiting guards against calls beyond the connection limit that open a connection or are not served by the
// next free one.
func TestWaiting(t *testing.T) {
	s := newBlockingServer(t)
	p := New(nil)
	done := make(chan Failure, 3)
	for range 3 {
		p.Start(s.address, 1, &Call{Method: "GET", Target: "/", Host: "h"}, func(_ Response, f Failure) { done <- f })
	}
	for range 3 {
		s.answer <- struct{}{}
		if got := <-done; got != NoFailure {
			t.Errorf("got %v, want a response", got)
		}
	}
	if got := p.Counts(); got.Dialed != 1 || got.Waited != 2 {
		t.Errorf("got %+v, want one connection and two calls that waited", got)
	}
	p.Close()
	_ = s.server.Close()
}

// TestMayBeSent guards against a call that is sent although the reason for sending it has gone while it waited for a
// connection, and that takes the connection with it.
func TestMayBeSent(t *testing.T) {
	s := newBlockingServer(t)
	p := New(nil)
	results := make(chan string, 3)
	for i, mayBeSent := range []func() bool{nil, func() bool { return false }, func() bool { return true }} {
		call := &Call{Method: "GET", Target: "/", Host: "h", MayBeSent: mayBeSent}
		p.Start(s.address, 1, call, func(_ Response, f Failure) { results <- fmt.Sprintf("%d %v sent %t", i, f, f.MayHaveBeenSent()) })
		s.answer <- struct{}{}
	}
	got := []string{<-results, <-results, <-results}
	slices.Sort(got)
	if want := []string{"0 none sent true", "1 not-sent sent false", "2 none sent true"}; !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := p.Counts().Dialed; got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
	p.Close()
	_ = s.server.Close()
}

// TestParkClosed guards against a connection that is closed as its call ends and is then given to the next call.
func TestParkClosed(t *testing.T) {
	s := newBlockingServer(t)
	p := New(nil)
	done := make(chan Failure, 1)
	s.answer <- struct{}{}
	e := p.Start(s.address, 2, &Call{Method: "GET", Target: "/", Host: "h"}, func(_ Response, f Failure) { done <- f })
	<-done
	waitIdle(p)
	other := p.Start(s.address, 2, &Call{Method: "GET", Target: "/", Host: "h"}, func(Response, Failure) {}) // keeps the host known
	c := newConn(p, s.address, e.currentConn().nc)
	c.closed = true
	p.park(c)
	p.mu.Lock()
	if got := len(p.hosts[s.address].idle); got != 0 {
		t.Errorf("got %d idle connections, want none", got)
	}
	p.mu.Unlock()
	other.Cancel()
	p.Close()
	_ = s.server.Close()
}

// TestSendHeader guards against headers that state the time at which a call was started, although it waited for a
// connection before it was sent.
func TestSendHeader(t *testing.T) {
	s := newBlockingServer(t)
	p := New(nil)
	done := make(chan Failure, 2)
	sentAt := make(chan time.Time, 2)
	call := &Call{Method: "GET", Target: "/", Host: "h", SendHeader: func(now time.Time) []Header {
		sentAt <- now
		return nil
	}}
	for range 2 {
		p.Start(s.address, 1, call, func(_ Response, f Failure) { done <- f })
	}
	<-sentAt
	answered := time.Now()
	s.answer <- struct{}{}
	<-done
	s.answer <- struct{}{}
	<-done
	if got := <-sentAt; got.Before(answered) {
		t.Errorf("got the header of the second call made %v before the first was answered, want it made when it is sent", answered.Sub(got))
	}
	p.Close()
	_ = s.server.Close()
}

// TestSecondSending guards against a request that is sent again on the connection that has carried it before, where a late
// copy of the first response would be taken for its own, and against one that gets no connection for that reason. The
// second call waits for the only connection, the third one finds it idle, and the fourth may use it.
func TestSecondSending(t *testing.T) {
	s := newBlockingServer(t)
	p := New(nil)
	done := make(chan Failure, 2)
	start := func(id string) {
		p.Start(s.address, 1, &Call{ID: id, Method: "GET", Target: "/", Host: "h"}, func(_ Response, f Failure) { done <- f })
	}
	start("a")
	start("a")
	for i, id := range []string{"", "a", "b", ""} {
		s.answer <- struct{}{}
		if got := <-done; got != NoFailure {
			t.Errorf("call %d: got %v, want a response", i+1, got)
		}
		if id != "" {
			waitIdle(p)
			start(id)
		}
	}
	if got := p.Counts(); got.Dialed != 3 || got.Waited != 1 || got.Reused != 1 || got.Open != 1 {
		t.Errorf("got %+v, want a connection for each sending of the first request, of which the last one is open and used again", got)
	}
	p.Close()
	_ = s.server.Close()
}

// TestMaxIdleTime guards against a call that must not be lost and is sent on a connection that has been idle for
// too long.
func TestMaxIdleTime(t *testing.T) {
	s := newBlockingServer(t)
	p := New(nil)
	done := make(chan Failure, 1)
	for _, maxIdle := range []time.Duration{0, 0, time.Nanosecond} {
		s.answer <- struct{}{}
		p.Start(s.address, 4, &Call{Method: "GET", Target: "/", Host: "h", MaxIdleTime: maxIdle}, func(_ Response, f Failure) { done <- f })
		if got := <-done; got != NoFailure {
			t.Errorf("got %v, want a response", got)
		}
		waitIdle(p)
	}
	if got := p.Counts(); got.Dialed != 2 || got.Reused != 1 {
		t.Errorf("got %+v, want the third call on a new connection", got)
	}
	p.Close()
	_ = s.server.Close()
}

// TestCancel guards against an upstream that does not learn of a cancellation at once, and against a waiting
// call that is sent after it was cancelled.
func TestCancel(t *testing.T) {
	s := newBlockingServer(t)
	p := New(nil)
	first := p.Start(s.address, 1, &Call{Method: "GET", Target: "/", Host: "h"}, func(Response, Failure) { t.Error("got a result of a cancelled exchange") })
	second := p.Start(s.address, 1, &Call{Method: "GET", Target: "/", Host: "h"}, func(Response, Failure) { t.Error("got a result of a cancelled exchange") })
	second.Cancel()
	waitUntil(func() bool { return first.currentConn() != nil })
	first.Cancel()
	<-s.clientGone
	if got := p.Counts().Dialed; got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
	p.Close()
	_ = s.server.Close()
}

// currentConn returns the connection of the exchange, or nil if it has none yet.
func (e *Exchange) currentConn() *conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conn
}

// TestUnreachable guards against a call that is reported as sent although the connection was refused.
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

// TestPanic guards against a fault in the handling of one response that ends the process, or that leaves its call without
// an outcome.
func TestPanic(t *testing.T) {
	s := newBlockingServer(t)
	p := New(nil)
	panics := make(chan any, 1)
	p.OnPanic(func(v any, _ []byte) { panics <- v })
	done := make(chan Failure, 1)
	s.answer <- struct{}{}
	call := &Call{Method: "GET", Target: "/", Host: "h", Identify: func(http.Header) Identity { panic("fault") }}
	p.Start(s.address, 1, call, func(_ Response, f Failure) { done <- f })
	if got := <-done; got != MalformedResponse {
		t.Errorf("got %v, want a malformed response", got)
	}
	if got := <-panics; got != "fault" {
		t.Errorf("got the panic %v, want fault", got)
	}
	s.answer <- struct{}{}
	p.Start(s.address, 1, &Call{Method: "GET", Target: "/", Host: "h"}, func(_ Response, f Failure) { done <- f })
	if got := <-done; got != NoFailure {
		t.Errorf("got %v, want a response to the next call", got)
	}
	p.Close()
	_ = s.server.Close()
}
