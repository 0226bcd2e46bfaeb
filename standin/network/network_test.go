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

// echo is a target that returns what it receives on each connection.
func echo(t *testing.T) netip.AddrPort {
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

func newRelay(t *testing.T) *Proxy {
	r, err := New("path", loopback, echo(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func dial(t *testing.T, r *Proxy) net.Conn {
	c, err := net.Dial("tcp", r.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// roundTrip sends a line and returns how long its echo took.
func roundTrip(t *testing.T, c net.Conn) time.Duration {
	began := time.Now()
	if _, err := io.WriteString(c, "ping\n"); err != nil {
		t.Fatal(err)
	}
	if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || line != "ping\n" {
		t.Fatalf("got %q and %v, want the echo", line, err)
	}
	return time.Since(began)
}

// TestMain guards against goroutines that outlive Close.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// TestDelay guards against a delay that is lost or applied to one direction only.
func TestDelay(t *testing.T) {
	r := newRelay(t)
	c := dial(t, r)
	roundTrip(t, c)
	r.SetFaults(Faults{ForwardDelay: 20 * time.Millisecond, ReturnDelay: 30 * time.Millisecond})
	if got, want := roundTrip(t, c), 50*time.Millisecond; got < want {
		t.Errorf("got a round trip of %v, want at least %v", got, want)
	}
}

// TestRefuse guards that present connections go on while new ones are refused, and that the address comes back.
func TestRefuse(t *testing.T) {
	r := newRelay(t)
	c := dial(t, r)
	roundTrip(t, c)
	r.SetFaults(Faults{RefuseNew: true})
	roundTrip(t, c)
	if refused, err := net.Dial("tcp", r.Address().String()); err == nil {
		_ = refused.Close()
		t.Error("got a connection, want a refusal")
	}
	r.SetFaults(Faults{})
	for {
		again, err := net.Dial("tcp", r.Address().String())
		if err == nil {
			defer func() { _ = again.Close() }()
			roundTrip(t, again)
			return
		}
	}
}

// TestCut guards that a cut ends present connections and only these.
func TestCut(t *testing.T) {
	r := newRelay(t)
	c := dial(t, r)
	roundTrip(t, c)
	r.CloseConnections()
	if n, err := c.Read(make([]byte, 1)); err == nil {
		t.Errorf("got %d bytes, want the end of the connection", n)
	}
	roundTrip(t, dial(t, r))
}

// TestFreeze guards that a frozen connection neither delivers nor closes while new ones work.
func TestFreeze(t *testing.T) {
	r := newRelay(t)
	c := dial(t, r)
	roundTrip(t, c)
	r.SetFaults(Faults{ReturnDelay: 20 * time.Millisecond})
	if _, err := io.WriteString(c, "lost on the way\n"); err != nil {
		t.Fatal(err)
	}
	r.FreezeConnections()
	roundTrip(t, dial(t, r))
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
		t.Errorf("got %v, want no progress until the deadline", err)
	}
	if got, want := r.Counts(), (Counts{Accepted: 2, Open: 2, Frozen: 1}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
