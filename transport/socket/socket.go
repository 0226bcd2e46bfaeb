// Package socket carries CBOR messages between VMs over WebSocket.
//
// A VM sends on the connections that it opened and receives on those that it accepted. Each
// connection is pinged, because a path can go silent for good while new connections work.
package socket

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/coder/websocket"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/result"
	"pistachioshore.dev/transport"
	"pistachioshore.dev/wire"
)

// Subprotocol names the messages and their encoding in the WebSocket handshake.
const Subprotocol = "pistachio-peer-1"

// Path is where a VM accepts the connections of other VMs.
const Path = "/v1/peer"

// Receiver takes what arrives and learns what did not leave. Its methods must not block.
type Receiver interface {
	// Receive takes a message from another VM.
	Receive(from netip.AddrPort, message *wire.Envelope)
	// Undelivered returns messages that were accepted by Send but never written.
	Undelivered(vm netip.AddrPort, messages []*wire.Envelope)
	// Disconnected says that messages already written to the VM may not have arrived.
	Disconnected(vm netip.AddrPort)
	// ConnectFailed says that a connection to the VM could not be opened.
	ConnectFailed(vm netip.AddrPort)
}

// Hub holds the connections of one VM to the others.
type Hub struct {
	self  wire.Hello
	codec *codec.Codec
	opts  options

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu       sync.Mutex
	receiver Receiver
	links    map[netip.AddrPort]*link
}

var _ transport.PeerMessenger = (*Hub)(nil)

// New returns a hub for the VM that hello describes.
func New(hello wire.Hello, c *codec.Codec, opts ...Option) *Hub {
	o := defaultOptions()
	for _, opt := range opts {
		opt(&o)
	}
	h := &Hub{self: hello, codec: c, opts: o, links: map[netip.AddrPort]*link{}}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	return h
}

// Start gives the hub its receiver; nothing is sent or received before.
func (h *Hub) Start(r Receiver) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.receiver = r
}

// Connect keeps a connection to a VM open until Forget; a link that exists is left alone.
func (h *Hub) Connect(vm netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.links[vm] != nil || h.receiver == nil || h.ctx.Err() != nil {
		return
	}
	l := newLink(h, vm, h.receiver)
	h.links[vm] = l
	h.work.Go(l.run)
}

// Disconnect closes the connection to a VM and drops what is queued for it.
func (h *Hub) Disconnect(vm netip.AddrPort) {
	h.mu.Lock()
	l := h.links[vm]
	delete(h.links, vm)
	h.mu.Unlock()
	if l != nil {
		l.cancel()
	}
}

// Send queues a message for a VM; false means that it was not sent and will not be.
func (h *Hub) Send(vm netip.AddrPort, message *wire.Envelope) bool {
	h.mu.Lock()
	l := h.links[vm]
	h.mu.Unlock()
	return l != nil && l.push(h.outgoing(message))
}

// SendAll queues a message for several VMs; it is encoded once.
func (h *Hub) SendAll(vms []netip.AddrPort, message *wire.Envelope) {
	m := h.outgoing(message)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, vm := range vms {
		if l := h.links[vm]; l != nil {
			l.push(m)
		}
	}
}

// outgoing is a message that may go to several VMs.
type outgoing struct {
	message *wire.Envelope
	frame   func() ([]byte, error) // encodes it once
}

func (h *Hub) outgoing(m *wire.Envelope) *outgoing {
	return &outgoing{m, sync.OnceValues(func() ([]byte, error) { return h.codec.EncodeFrame(m) })}
}

// Peers lists the VMs that a connection is kept to.
func (h *Hub) Peers() []netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	vms := make([]netip.AddrPort, 0, len(h.links))
	for vm := range h.links {
		vms = append(vms, vm)
	}
	return vms
}

// Close ends all connections and waits for their goroutines.
func (h *Hub) Close() {
	h.cancel()
	h.work.Wait()
}

// ServeHTTP accepts the connection of another VM and receives on it until it ends.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	receiver := h.receiver
	if receiver == nil || h.ctx.Err() != nil {
		h.mu.Unlock()
		http.Error(w, result.New(result.NotReady, "the VM does not take part yet").Error(), http.StatusServiceUnavailable)
		return
	}
	h.work.Add(1)
	h.mu.Unlock()
	defer h.work.Done()
	c, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{Subprotocol}})
	if err != nil {
		return // Accept has answered with the reason
	}
	defer func() { _ = c.CloseNow() }()
	c.SetReadLimit(-1) // read bounds each message and names the fault, which the library's limit would not
	if c.Subprotocol() != Subprotocol {
		fault := result.NewFieldError(result.WrongSubprotocol, "Sec-WebSocket-Protocol", c.Subprotocol(), Subprotocol)
		_ = c.Close(websocket.StatusPolicyViolation, fault.Error())
		return
	}
	h.receive(c, receiver)
}

func (h *Hub) receive(c *websocket.Conn, receiver Receiver) {
	first, err := h.read(c)
	if err != nil || first.Hello == nil {
		h.reject(c, err)
		return
	}
	from := first.Hello.VM
	for {
		m, err := h.read(c)
		if err != nil {
			h.reject(c, err)
			return
		}
		receiver.Receive(from, m)
	}
}

// read returns the next message; a peer sends heartbeats, so a longer silence ends the connection.
func (h *Hub) read(c *websocket.Conn) (*wire.Envelope, error) {
	silent := time.AfterFunc(h.opts.silence, func() {
		h.reject(c, result.New(result.Late, "no message for "+h.opts.silence.String()))
	})
	defer silent.Stop()
	// A peer that is cut off cannot answer the close frame; the deadline ends its connection.
	ctx, cancel := context.WithTimeout(h.ctx, h.opts.silence+h.opts.progress)
	defer cancel()
	_, message, err := c.Reader(ctx)
	if err != nil {
		return nil, err
	}
	frame, err := io.ReadAll(io.LimitReader(message, int64(h.opts.frameLimit)+1))
	if err != nil {
		return nil, err
	}
	return h.codec.DecodeFrame(frame, h.opts.frameLimit)
}

// reject closes a connection and names the fault of its last frame, if it had one.
func (h *Hub) reject(c *websocket.Conn, err error) {
	reason := result.New(result.Malformed, "the first message must be hello").Error()
	if err != nil {
		reason = err.Error()
	}
	const maxReason = 120 // a close frame carries at most 123 bytes of reason
	if len(reason) > maxReason {
		reason = reason[:maxReason]
	}
	_ = c.Close(websocket.StatusPolicyViolation, reason)
}

func (h *Hub) dial(ctx context.Context, vm netip.AddrPort) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.progress)
	defer cancel()
	c, resp, err := websocket.Dial(ctx, "ws://"+vm.String()+Path, &websocket.DialOptions{
		Subprotocols: []string{Subprotocol}, HTTPClient: h.opts.client,
	})
	if err != nil {
		if resp != nil && resp.Body != nil {
			_ = resp.Body.Close()
		}
		return nil, err
	}
	hello := h.self
	if err := h.write(ctx, c, h.outgoing(&wire.Envelope{Kind: codec.KindHello, Hello: &hello})); err != nil {
		_ = c.CloseNow()
		return nil, err
	}
	return c, nil
}

func (h *Hub) write(ctx context.Context, c *websocket.Conn, m *outgoing) error {
	frame, err := m.frame()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, h.opts.progress)
	defer cancel()
	return c.Write(ctx, websocket.MessageBinary, frame)
}
