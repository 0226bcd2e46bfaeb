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

// TestMain guards against goroutines that a closed connection or client leaves behind.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const testTimeout = 20 * time.Second

// fakeUpstream answers every request in the same way and counts connections and requests.
type fakeUpstream struct {
	address     netip.AddrPort
	connections atomic.Int32
	requests    atomic.Int32
}

// newFakeUpstream accepts connections and calls answer for each request that it has read completely.
func newFakeUpstream(t *testing.T, answer func(c *net.TCPConn)) *fakeUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &fakeUpstream{address: netip.MustParseAddrPort(l.Addr().String())}
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

func (s *fakeUpstream) serve(c *net.TCPConn, answer func(c *net.TCPConn)) {
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
	_ = c.SetLinger(0) // with a linger of 0, closing sends a reset
	_ = c.Close()
}

func testCall(d time.Duration) transport.Call {
	return transport.Call{
		RequestID: "r", Attempt: 1, Deadline: time.Now().Add(d), Snapshot: 1,
		Operation: "place-order", Key: "k", Quantity: 1,
	}
}

func connect(t *testing.T, s *fakeUpstream) transport.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	c, err := New().Connect(ctx, s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestReplies guards against a result code that is wrong about whether the call may have run (property P6), and
// against a call that is sent twice, on the same connection or on another one (property P7).
func TestReplies(t *testing.T) {
	const short, long = 200 * time.Millisecond, testTimeout
	for _, tc := range []struct {
		name     string
		answer   func(c *net.TCPConn)
		deadline time.Duration
		want     result.Code
	}{
		{"executed", reply("200 OK\r\nContent-Length: 15\r\n\r\n{\"receipt\":\"r\"}"), long, result.Executed},
		{"reset after the write", reset, long, result.ConnectionLost},
		{"close without a response", func(c *net.TCPConn) { _ = c.Close() }, long, result.ConnectionLost},
		{"truncated response", func(c *net.TCPConn) { reply("200 OK\r\nContent-Length: 15\r\n\r\n{\"rec")(c); _ = c.Close() }, long, result.ConnectionLost},
		{"malformed response", reply("200 OK\r\nContent-Length: 3\r\n\r\n{x}"), long, result.UpstreamFailed},
		{"silence", func(*net.TCPConn) {}, short, result.Late},
		{"silence within the response", reply("200 OK\r\nContent-Length: 15\r\n\r\n{"), short, result.Late},
		{"shed", reply("503 Busy\r\nShed: true\r\nContent-Length: 0\r\n\r\n"), long, result.UpstreamShed},
		{"failure of the upstream", reply("503 Busy\r\nContent-Length: 0\r\n\r\n"), long, result.UpstreamFailed},
		{"snapshot gone", reply("409 Conflict\r\nContent-Length: 0\r\n\r\n"), long, result.SnapshotGone},
		{"deadline expired before the start", reply("408 Late\r\nContent-Length: 0\r\n\r\n"), long, result.DeadlineExpired},
		{"cancelled", reply("499 Cancelled\r\nContent-Length: 0\r\n\r\n"), long, result.UpstreamFailed},
		{"redirect", reply("303 Other\r\nLocation: /v1/execute\r\nContent-Length: 0\r\n\r\n"), long, result.UpstreamFailed},
		{"redirect that keeps the body", reply("307 Other\r\nLocation: /v1/execute\r\nContent-Length: 0\r\n\r\n"), long, result.UpstreamFailed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newFakeUpstream(t, tc.answer)
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

// TestNothingWritten guards against calls that are reported as not run although bytes of them were sent,
// and against a lost connection that is replaced without the caller's knowledge. It also guards against a
// close from this end that is reported as a close by the upstream, which would count as a suspected crash.
func TestNothingWritten(t *testing.T) {
	s := newFakeUpstream(t, reply("200 OK\r\nContent-Length: 15\r\n\r\n{\"receipt\":\"r\"}"))
	c := connect(t, s)
	remoteClosed := make(chan struct{})
	c.OnRemoteClose(func() { close(remoteClosed) })
	if got := c.Do(t.Context(), testCall(testTimeout)); got.Code != result.Executed || got.Receipt != "r" {
		t.Fatalf("got %+v, want executed", got)
	}
	if got := c.Do(t.Context(), testCall(-time.Second)); got.Code != result.Unreachable {
		t.Errorf("deadline passed: got %v, want %v", got.Code, result.Unreachable)
	}
	if err := c.Close(); err != nil {
		t.Logf("close: %v", err)
	}
	if got := c.Do(t.Context(), testCall(testTimeout)); got.Code != result.Unreachable {
		t.Errorf("closed connection: got %v, want %v", got.Code, result.Unreachable)
	}
	select {
	case <-remoteClosed:
		t.Error("a close from this end was reported as a close by the upstream")
	default:
	}
	if n, r := s.connections.Load(), s.requests.Load(); n != 1 || r != 1 {
		t.Errorf("got %d connections with %d requests, want 1 with 1", n, r)
	}
}

// TestIdleReset guards against a call that is sent on another connection after the upstream has reset the
// idle one. Either code is correct, because the reset may come before or after the write.
func TestIdleReset(t *testing.T) {
	resetSent := make(chan struct{})
	s := newFakeUpstream(t, func(c *net.TCPConn) {
		reply("200 OK\r\nContent-Length: 15\r\n\r\n{\"receipt\":\"r\"}")(c)
		reset(c)
		close(resetSent)
	})
	c := connect(t, s)
	remoteClosed := make(chan struct{})
	c.OnRemoteClose(func() { close(remoteClosed) })
	c.Do(t.Context(), testCall(testTimeout))
	<-resetSent
	select {
	case <-remoteClosed:
	case <-time.After(testTimeout):
		t.Fatal("the reset of the idle connection was not reported")
	}
	got := c.Do(t.Context(), testCall(testTimeout))
	if got.Code != result.Unreachable && got.Code != result.ConnectionLost {
		t.Errorf("got %v, want %v or %v", got.Code, result.Unreachable, result.ConnectionLost)
	}
	if n, r := s.connections.Load(), s.requests.Load(); n != 1 || r != 1 {
		t.Errorf("got %d connections with %d requests, want 1 with 1", n, r)
	}
}

// TestRefusedConnection guards against a refused connection that is not reported as an error of Connect.
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
