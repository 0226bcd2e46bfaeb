package rest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pistachioshore.dev/result"
	"pistachioshore.dev/transport"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const testBound = 20 * time.Second

// scripted is an upstream that does one set thing with each connection; it counts connections and requests.
type scripted struct {
	address     netip.AddrPort
	connections atomic.Int32
	requests    atomic.Int32
}

// newScripted accepts connections and passes each request that it has read whole to answer.
func newScripted(t *testing.T, answer func(c *net.TCPConn)) *scripted {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &scripted{address: netip.MustParseAddrPort(l.Addr().String())}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(c.(*net.TCPConn), answer)
		}
	}()
	return s
}

func (s *scripted) serve(c *net.TCPConn, answer func(c *net.TCPConn)) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		s.requests.Add(1)
		answer(c)
	}
}

func reply(text string) func(c *net.TCPConn) {
	return func(c *net.TCPConn) { _, _ = io.WriteString(c, "HTTP/1.1 "+text) }
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // a close without linger sends a reset
	_ = c.Close()
}

func testCall(d time.Duration) transport.Call {
	return transport.Call{
		RequestID: "r", Attempt: 1, Deadline: time.Now().Add(d), Snapshot: 1,
		Operation: "place-order", Key: "k", Quantity: 1,
	}
}

func connect(t *testing.T, s *scripted) transport.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testBound)
	defer cancel()
	c, err := New().Connect(ctx, s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestReplies guards P6 and P7: the code of a call says truly whether it may have run, and no call is
// sent a second time, neither on its connection nor on another one.
func TestReplies(t *testing.T) {
	const short, long = 200 * time.Millisecond, testBound
	for _, tc := range []struct {
		name     string
		answer   func(c *net.TCPConn)
		deadline time.Duration
		want     result.Code
	}{
		{"executed", reply("200 OK\r\nContent-Length: 15\r\n\r\n{\"receipt\":\"r\"}"), long, result.Executed},
		{"reset after the write", reset, long, result.ConnectionLost},
		{"end without an answer", func(c *net.TCPConn) { _ = c.Close() }, long, result.ConnectionLost},
		{"answer that is cut", func(c *net.TCPConn) { reply("200 OK\r\nContent-Length: 15\r\n\r\n{\"rec")(c); _ = c.Close() }, long, result.ConnectionLost},
		{"answer that is not understood", reply("200 OK\r\nContent-Length: 3\r\n\r\n{x}"), long, result.UpstreamFailed},
		{"silence", func(*net.TCPConn) {}, short, result.Late},
		{"silence within the answer", reply("200 OK\r\nContent-Length: 15\r\n\r\n{"), short, result.Late},
		{"shed", reply("503 Busy\r\nShed: true\r\nContent-Length: 0\r\n\r\n"), long, result.UpstreamShed},
		{"failure of the upstream", reply("503 Busy\r\nContent-Length: 0\r\n\r\n"), long, result.UpstreamFailed},
		{"snapshot gone", reply("409 Conflict\r\nContent-Length: 0\r\n\r\n"), long, result.SnapshotGone},
		{"deadline passed before the start", reply("408 Late\r\nContent-Length: 0\r\n\r\n"), long, result.DeadlineExpired},
		{"cancelled", reply("499 Cancelled\r\nContent-Length: 0\r\n\r\n"), long, result.UpstreamFailed},
		{"redirect", reply("303 Other\r\nLocation: /v1/execute\r\nContent-Length: 0\r\n\r\n"), long, result.UpstreamFailed},
		{"redirect that keeps the body", reply("307 Other\r\nLocation: /v1/execute\r\nContent-Length: 0\r\n\r\n"), long, result.UpstreamFailed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newScripted(t, tc.answer)
			got := connect(t, s).Do(t.Context(), testCall(tc.deadline))
			if got.Code != tc.want {
				t.Errorf("got %v, want %v", got.Code, tc.want)
			}
			if c, r := s.connections.Load(), s.requests.Load(); c != 1 || r != 1 {
				t.Errorf("got %d connections with %d requests, want 1 with 1", c, r)
			}
		})
	}
	if got := result.UpstreamFailed.Effect(); got != result.MayHaveRun {
		t.Errorf("a call that was cancelled at the upstream: got %v, want %v", got, result.MayHaveRun)
	}
}

// TestNothingWritten guards that a call is "not run" only if none of its bytes left, and that a
// connection that has ended is not replaced behind the caller's back. A close from this end must not
// be told as a loss, which would count as a suspected crash of the upstream.
func TestNothingWritten(t *testing.T) {
	s := newScripted(t, reply("200 OK\r\nContent-Length: 15\r\n\r\n{\"receipt\":\"r\"}"))
	c := connect(t, s)
	lost := make(chan struct{})
	c.OnRemoteClose(func() { close(lost) })
	if got := c.Do(t.Context(), testCall(testBound)); got.Code != result.Executed || got.Receipt != "r" {
		t.Fatalf("got %+v, want executed", got)
	}
	if got := c.Do(t.Context(), testCall(-time.Second)); got.Code != result.Unreachable {
		t.Errorf("deadline passed: got %v, want %v", got.Code, result.Unreachable)
	}
	if err := c.Close(); err != nil {
		t.Logf("close: %v", err)
	}
	if got := c.Do(t.Context(), testCall(testBound)); got.Code != result.Unreachable {
		t.Errorf("closed connection: got %v, want %v", got.Code, result.Unreachable)
	}
	select {
	case <-lost:
		t.Error("got a loss for a close from this end, want none")
	default:
	}
	if n, r := s.connections.Load(), s.requests.Load(); n != 1 || r != 1 {
		t.Errorf("got %d connections with %d requests, want 1 with 1", n, r)
	}
}

// TestIdleReset guards that a call on a connection that the upstream has reset while it was idle is
// never sent on another one; either code is true, for the reset may come before or after the write.
func TestIdleReset(t *testing.T) {
	ended := make(chan struct{})
	s := newScripted(t, func(c *net.TCPConn) {
		reply("200 OK\r\nContent-Length: 15\r\n\r\n{\"receipt\":\"r\"}")(c)
		reset(c)
		close(ended)
	})
	c := connect(t, s)
	lost := make(chan struct{})
	c.OnRemoteClose(func() { close(lost) })
	c.Do(t.Context(), testCall(testBound))
	<-ended
	select {
	case <-lost:
	case <-time.After(testBound):
		t.Fatal("the reset of the idle connection was not told")
	}
	got := c.Do(t.Context(), testCall(testBound))
	if got.Code != result.Unreachable && got.Code != result.ConnectionLost {
		t.Errorf("got %v, want %v or %v", got.Code, result.Unreachable, result.ConnectionLost)
	}
	if n, r := s.connections.Load(), s.requests.Load(); n != 1 || r != 1 {
		t.Errorf("got %d connections with %d requests, want 1 with 1", n, r)
	}
}

// TestRefusedConnection guards that a connection that cannot be opened is an error, on which nothing was sent.
func TestRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(l.Addr().String())
	_ = l.Close()
	if c, err := New().Connect(t.Context(), address); err == nil {
		_ = c.Close()
		t.Error("got a connection to a closed port")
	}
}
