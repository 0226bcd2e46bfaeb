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

// TestMain guards against goroutines that Close leaves behind.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const testTimeout = 20 * time.Second

// recorder is a Receiver that counts the calls.
type recorder struct {
	mu              sync.Mutex
	changed         chan struct{}
	received        map[netip.AddrPort]int
	connects        int
	disconnects     int
	connectFailures int
	undelivered     int
	arrived         []string // kind and payload of each message but heartbeats of sendHeartbeats, in order
}

func newRecorder() *recorder {
	return &recorder{changed: make(chan struct{}, 1), received: map[netip.AddrPort]int{}}
}

func (r *recorder) record(change func()) {
	r.mu.Lock()
	change()
	r.mu.Unlock()
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (r *recorder) Receive(from netip.AddrPort, m *wire.Envelope) {
	n := 1
	if m.Parts != nil {
		n = len(m.Parts.Items)
	}
	r.record(func() {
		r.received[from] += n
		r.arrived = append(r.arrived, describe(m))
	})
}

func (r *recorder) Undelivered(_ netip.AddrPort, m []*wire.Envelope) {
	r.record(func() { r.undelivered += len(m) })
}
func (r *recorder) Connected(netip.AddrPort)     { r.record(func() { r.connects++ }) }
func (r *recorder) Disconnected(netip.AddrPort)  { r.record(func() { r.disconnects++ }) }
func (r *recorder) ConnectFailed(netip.AddrPort) { r.record(func() { r.connectFailures++ }) }

// wait waits until a condition on the counts holds.
func (r *recorder) wait(t *testing.T, what string, holds func() bool) {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		r.mu.Lock()
		ok := holds()
		r.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-r.changed:
		case <-timeout:
			t.Fatalf("timed out waiting for %s after %s", what, testTimeout)
		}
	}
}

// testPeer is a hub with its own HTTP server.
type testPeer struct {
	hub      *Hub
	recorder *recorder
	server   *httptest.Server
	address  netip.AddrPort
}

func newTestPeer(t *testing.T, opts ...Option) *testPeer {
	t.Helper()
	c, err := codec.New()
	if err != nil {
		t.Fatal(err)
	}
	p := &testPeer{recorder: newRecorder()}
	p.server = httptest.NewUnstartedServer(nil)
	p.address = netip.MustParseAddrPort(p.server.Listener.Addr().String())
	p.hub = New(wire.Hello{VM: p.address, Zone: "z", Incarnation: 1}, c, opts...)
	p.hub.Start(p.recorder)
	p.server.Config.Handler = p.hub
	p.server.Start()
	t.Cleanup(p.server.Close)
	t.Cleanup(p.hub.Close)
	return p
}

func heartbeat(vm netip.AddrPort) *wire.Envelope {
	return &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: &wire.Heartbeat{VM: vm, Heard: []wire.HeardPeer{}}}
}

// TestBadPeers guards against a faulty peer connection that stays open or is closed without the code of its
// fault, and against a fault that disturbs the connection of another VM.
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
	badPeer := netip.MustParseAddrPort("10.0.0.9:7000")
	hello := frame(&wire.Envelope{Kind: codec.KindHello, Hello: &wire.Hello{VM: badPeer, Zone: "z", Incarnation: 1}})
	target := newTestPeer(t, WithFrameLimit(limit), WithPing(50*time.Millisecond, 5*time.Second))
	target.hub.opts.maxSilence = time.Second
	good := newTestPeer(t)
	good.hub.Connect(target.address)
	sendOne(t, good, target)
	sendHeartbeats(t, good, target)
	for _, tc := range []struct {
		name        string
		subprotocol string
		frames      [][]byte
		want        string
	}{
		{"wrong subprotocol", "pistachio-peer-0", nil, "209 wrong-subprotocol: Sec-WebSocket-Protocol (allowed: pistachio-peer-2, pistachio-peer-1)"},
		{"first frame not hello", Subprotocol, [][]byte{frame(heartbeat(badPeer))}, "200 malformed: the first message must be hello"},
		{"truncated frame", Subprotocol, [][]byte{hello, hello[:len(hello)-1]}, "210 truncated-frame: the frame ends within a value"},
		{"one byte over the limit", Subprotocol, [][]byte{hello, make([]byte, limit+1)}, "211 frame-too-large"},
		{"frame far over the limit", Subprotocol, [][]byte{hello, make([]byte, 64*limit)}, "211 frame-too-large"},
		{"silence after hello", Subprotocol, [][]byte{hello}, "503 late"},
		{"silence before hello", Subprotocol, nil, "503 late"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			c, _, err := websocket.Dial(ctx, "ws://"+target.address.String()+Path, &websocket.DialOptions{Subprotocols: []string{tc.subprotocol}})
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
			wantCount := target.received(good) + 1
			target.recorder.wait(t, "a message from the other VM", func() bool { return target.recorder.received[good.address] >= wantCount })
		})
	}
	good.recorder.mu.Lock()
	defer good.recorder.mu.Unlock()
	if good.recorder.disconnects != 0 {
		t.Errorf("the connection of the other VM was lost %d times, want 0", good.recorder.disconnects)
	}
}

// sendHeartbeats sends heartbeats from one peer to another until the end of the test.
func sendHeartbeats(t *testing.T, from, to *testPeer) {
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

// received returns the number of messages received from another peer.
func (p *testPeer) received(from *testPeer) int {
	p.recorder.mu.Lock()
	defer p.recorder.mu.Unlock()
	return p.recorder.received[from.address]
}

// sendOne sends one message from one peer to another and waits until it has been received.
func sendOne(t *testing.T, from, to *testPeer) {
	t.Helper()
	before := to.received(from)
	timeout := time.After(testTimeout)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !from.hub.Send(to.address, heartbeat(from.address)) {
		select {
		case <-tick.C:
		case <-timeout:
			t.Fatal("timed out waiting for a connection")
		}
	}
	to.recorder.wait(t, "a message", func() bool { return to.recorder.received[from.address] > before })
}

// TestLostPeer guards against a lost peer that is not reported, and against messages that are accepted without
// a connection: a message that is accepted and then dropped leads to a false "not run".
func TestLostPeer(t *testing.T) {
	a, b := newTestPeer(t), newTestPeer(t)
	a.hub.Connect(b.address)
	sendOne(t, a, b)
	b.hub.Close()
	a.recorder.wait(t, "the loss of the peer", func() bool { return a.recorder.disconnects == 1 && a.recorder.connectFailures > 0 })
	if a.hub.Send(b.address, heartbeat(a.address)) {
		t.Error("a message was accepted without a connection")
	}
	a.hub.Disconnect(b.address)
	if got := a.hub.Peers(); len(got) != 0 {
		t.Errorf("got peers %v, want none after Disconnect", got)
	}
	if got := b.received(a); got != 1 {
		t.Errorf("got %d messages, want 1", got)
	}
}

// TestJoinedParts guards against shard results that are lost when several share a frame.
func TestJoinedParts(t *testing.T) {
	a, b := newTestPeer(t), newTestPeer(t)
	a.hub.Connect(b.address)
	sendOne(t, a, b)
	const parts = 3*maxPartsPerFrame + 1
	for i := range uint64(parts) {
		m := &wire.Envelope{Kind: codec.KindParts, Parts: &wire.Parts{Items: []wire.Part{{ID: i, Code: 100, Records: []wire.Record{}}}}}
		if !a.hub.Send(b.address, m) {
			t.Fatalf("part %d was not accepted", i)
		}
	}
	b.recorder.wait(t, "all parts", func() bool { return b.recorder.received[a.address] == parts+1 })
}
