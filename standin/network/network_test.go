package network

import (
	"bufio"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pistachioshore.dev/standin"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// startEchoServer starts a target that echoes what it receives on each connection.
func startEchoServer(t *testing.T) netip.AddrPort {
	p := standin.NewPort(standin.ListenTCP(loopback), func(c net.Conn) {
		go func() {
			_, _ = io.Copy(c, c)
			_ = c.Close()
		}()
	})
	address, err := p.Open()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return address.(*net.TCPAddr).AddrPort()
}

func newProxy(t *testing.T) *Proxy {
	p, err := New("path", loopback, startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func dial(t *testing.T, p *Proxy) net.Conn {
	c, err := net.Dial("tcp", p.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// roundTrip sends a line and returns the time until its echo.
func roundTrip(t *testing.T, c net.Conn) time.Duration {
	start := time.Now()
	if _, err := io.WriteString(c, "ping\n"); err != nil {
		t.Fatal(err)
	}
	if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || line != "ping\n" {
		t.Fatalf("got %q and %v, want the echo", line, err)
	}
	return time.Since(start)
}

// TestMain guards against goroutines that Close leaves behind.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// TestDelay guards against a delay that is lost or applied to one direction only.
func TestDelay(t *testing.T) {
	p := newProxy(t)
	c := dial(t, p)
	roundTrip(t, c)
	p.SetFaults(Faults{ForwardDelay: 20 * time.Millisecond, ReturnDelay: 30 * time.Millisecond})
	if got, want := roundTrip(t, c), 50*time.Millisecond; got < want {
		t.Errorf("got a round trip of %v, want at least %v", got, want)
	}
}

// TestRefuseNew guards against a refusal that also affects open connections, and against an address that does not
// accept connections again afterwards.
func TestRefuseNew(t *testing.T) {
	p := newProxy(t)
	c := dial(t, p)
	roundTrip(t, c)
	p.SetFaults(Faults{RefuseNew: true})
	roundTrip(t, c)
	if refused, err := net.Dial("tcp", p.Address().String()); err == nil {
		_ = refused.Close()
		t.Error("got a connection, want a refusal")
	}
	p.SetFaults(Faults{})
	for {
		again, err := net.Dial("tcp", p.Address().String())
		if err == nil {
			defer func() { _ = again.Close() }()
			roundTrip(t, again)
			return
		}
	}
}

// TestCloseConnections guards against CloseConnections leaving an open connection, or affecting new ones.
func TestCloseConnections(t *testing.T) {
	p := newProxy(t)
	c := dial(t, p)
	roundTrip(t, c)
	p.CloseConnections()
	if n, err := c.Read(make([]byte, 1)); err == nil {
		t.Errorf("got %d bytes, want the end of the connection", n)
	}
	roundTrip(t, dial(t, p))
}

// TestFreezeConnections guards against a frozen connection that delivers data or closes, and against a freeze that affects
// new connections.
func TestFreezeConnections(t *testing.T) {
	p := newProxy(t)
	c := dial(t, p)
	roundTrip(t, c)
	p.SetFaults(Faults{ReturnDelay: 20 * time.Millisecond})
	if _, err := io.WriteString(c, "lost on the way\n"); err != nil {
		t.Fatal(err)
	}
	p.FreezeConnections()
	roundTrip(t, dial(t, p))
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
		t.Errorf("got %v, want no progress until the deadline", err)
	}
	if got, want := p.Counts(), (Counts{Accepted: 2, Open: 2, Frozen: 1}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
