package socket

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/goleak"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/wire"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const testBound = 20 * time.Second

// inbox keeps what a hub passes to its VM.
type inbox struct {
	mu       sync.Mutex
	changed  chan struct{}
	received map[netip.AddrPort]int
	lost     int
	refused  int
	unsent   int
}

func newInbox() *inbox {
	return &inbox{changed: make(chan struct{}, 1), received: map[netip.AddrPort]int{}}
}

func (b *inbox) note(change func()) {
	b.mu.Lock()
	change()
	b.mu.Unlock()
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

func (b *inbox) Receive(from netip.AddrPort, m *wire.Envelope) {
	n := 1
	if m.Parts != nil {
		n = len(m.Parts.Items)
	}
	b.note(func() { b.received[from] += n })
}

func (b *inbox) Undelivered(_ netip.AddrPort, m []*wire.Envelope) {
	b.note(func() { b.unsent += len(m) })
}
func (b *inbox) Disconnected(netip.AddrPort)  { b.note(func() { b.lost++ }) }
func (b *inbox) ConnectFailed(netip.AddrPort) { b.note(func() { b.refused++ }) }

// wait waits until a condition on what has arrived holds.
func (b *inbox) wait(t *testing.T, what string, holds func() bool) {
	t.Helper()
	timeout := time.After(testBound)
	for {
		b.mu.Lock()
		ok := holds()
		b.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-b.changed:
		case <-timeout:
			t.Fatalf("%s did not come within %s", what, testBound)
		}
	}
}

// node is a hub behind a server of its own.
type node struct {
	hub     *Hub
	inbox   *inbox
	server  *httptest.Server
	address netip.AddrPort
}

func newNode(t *testing.T, opts ...Option) *node {
	t.Helper()
	c, err := codec.New()
	if err != nil {
		t.Fatal(err)
	}
	n := &node{inbox: newInbox()}
	n.server = httptest.NewUnstartedServer(nil)
	n.address = netip.MustParseAddrPort(n.server.Listener.Addr().String())
	n.hub = New(wire.Hello{VM: n.address, Zone: "z", Incarnation: 1}, c, opts...)
	n.hub.Start(n.inbox)
	n.server.Config.Handler = n.hub
	n.server.Start()
	t.Cleanup(n.server.Close)
	t.Cleanup(n.hub.Close)
	return n
}

func heartbeat(vm netip.AddrPort) *wire.Envelope {
	return &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: &wire.Heartbeat{VM: vm, Heard: []wire.HeardPeer{}}}
}

// TestBadPeers guards that a faulty peer connection ends with its numbered code, and that the
// connection of another VM carries messages before and after.
func TestBadPeers(t *testing.T) {
	const limit = 1024
	frame := func(e *wire.Envelope) []byte {
		c, err := codec.New()
		if err != nil {
			t.Fatal(err)
		}
		b, err := c.EncodeFrame(e)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	stranger := netip.MustParseAddrPort("10.0.0.9:7000")
	hello := frame(&wire.Envelope{Kind: codec.KindHello, Hello: &wire.Hello{VM: stranger, Zone: "z", Incarnation: 1}})
	n := newNode(t, WithFrameLimit(limit), WithPing(50*time.Millisecond, 5*time.Second))
	n.hub.opts.silence = time.Second
	good := newNode(t)
	good.hub.Connect(n.address)
	exchange(t, good, n)
	beat(t, good, n)
	for _, tc := range []struct {
		name        string
		subprotocol string
		frames      [][]byte
		want        string
	}{
		{"wrong subprotocol", "pistachio-peer-0", nil, "209 wrong-subprotocol: Sec-WebSocket-Protocol (allowed: pistachio-peer-1)"},
		{"first frame not hello", Subprotocol, [][]byte{frame(heartbeat(stranger))}, "200 malformed: the first message must be hello"},
		{"truncated frame", Subprotocol, [][]byte{hello, hello[:len(hello)-1]}, "210 truncated-frame: the frame ends within a value"},
		{"one byte over the limit", Subprotocol, [][]byte{hello, make([]byte, limit+1)}, "211 frame-too-large"},
		{"frame far over the limit", Subprotocol, [][]byte{hello, make([]byte, 64*limit)}, "211 frame-too-large"},
		{"silence after hello", Subprotocol, [][]byte{hello}, "503 late"},
		{"silence before hello", Subprotocol, nil, "503 late"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), testBound)
			defer cancel()
			c, _, err := websocket.Dial(ctx, "ws://"+n.address.String()+Path, &websocket.DialOptions{Subprotocols: []string{tc.subprotocol}})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.CloseNow() }()
			for _, f := range tc.frames {
				if err := c.Write(ctx, websocket.MessageBinary, f); err != nil {
					t.Fatal(err)
				}
			}
			_, _, err = c.Read(ctx)
			if websocket.CloseStatus(err) != websocket.StatusPolicyViolation || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got %v, want a close with %q", err, tc.want)
			}
			more := n.count(good) + 1
			n.inbox.wait(t, "a message of the other VM", func() bool { return n.inbox.received[good.address] >= more })
		})
	}
	good.inbox.mu.Lock()
	defer good.inbox.mu.Unlock()
	if good.inbox.lost != 0 {
		t.Errorf("the connection of the other VM was lost %d times, want 0", good.inbox.lost)
	}
}

// beat sends messages from one node to another until the end of the test, as a VM sends heartbeats.
func beat(t *testing.T, from, to *node) {
	t.Helper()
	stop, done := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(stop); <-done })
	go func() {
		defer close(done)
		tick := time.NewTicker(20 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				from.hub.Send(to.address, heartbeat(from.address))
			case <-stop:
				return
			}
		}
	}()
}

// count returns how many messages of another node have arrived.
func (n *node) count(from *node) int {
	n.inbox.mu.Lock()
	defer n.inbox.mu.Unlock()
	return n.inbox.received[from.address]
}

// exchange sends messages from one node until another one has received one more.
func exchange(t *testing.T, from, to *node) {
	t.Helper()
	before := to.count(from)
	timeout := time.After(testBound)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !from.hub.Send(to.address, heartbeat(from.address)) {
		select {
		case <-tick.C:
		case <-timeout:
			t.Fatal("no connection to send on")
		}
	}
	to.inbox.wait(t, "a message", func() bool { return to.inbox.received[from.address] > before })
}

// TestLostPeer guards that a VM learns of a peer that has ended, and that nothing is accepted for it
// meanwhile: a message that was accepted and dropped would be a false "not run".
func TestLostPeer(t *testing.T) {
	a, b := newNode(t), newNode(t)
	a.hub.Connect(b.address)
	exchange(t, a, b)
	b.hub.Close()
	a.inbox.wait(t, "the loss", func() bool { return a.inbox.lost == 1 && a.inbox.refused > 0 })
	if a.hub.Send(b.address, heartbeat(a.address)) {
		t.Error("a message was accepted without a connection")
	}
	a.hub.Disconnect(b.address)
	if got := a.hub.Peers(); len(got) != 0 {
		t.Errorf("got peers %v, want none after Forget", got)
	}
	if got := b.count(a); got != 1 {
		t.Errorf("got %d messages, want 1", got)
	}
}

// TestJoinedParts guards that shard results that share a frame all arrive.
func TestJoinedParts(t *testing.T) {
	a, b := newNode(t), newNode(t)
	a.hub.Connect(b.address)
	exchange(t, a, b)
	const parts = 3*maxPartsPerFrame + 1
	for i := range uint64(parts) {
		m := &wire.Envelope{Kind: codec.KindParts, Parts: &wire.Parts{Items: []wire.Part{{ID: i, Code: 100, Records: []wire.Record{}}}}}
		if !a.hub.Send(b.address, m) {
			t.Fatalf("part %d was not accepted", i)
		}
	}
	b.inbox.wait(t, "all parts", func() bool { return b.inbox.received[a.address] == parts+1 })
}
