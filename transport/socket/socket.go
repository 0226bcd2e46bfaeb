// Package socket carries CBOR messages between VMs over WebSocket.
//
// A VM sends on the connections that it opened and receives on those that it accepted. Each
// connection is pinged, because an established connection can stop passing packets for good while new
// connections still work.
package socket

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/coder/websocket"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/result"
	"pistachioshore.dev/transport"
	"pistachioshore.dev/wire"
)

// Subprotocol is the WebSocket subprotocol; it identifies the version of the messages and their encoding. VMs of the earlier
// version know no fragments and reject messages with newer fields; these are left out on a connection to such a VM.
const (
	Subprotocol        = "pistachio-peer-2"
	EarlierSubprotocol = "pistachio-peer-1"
)

// Path is the URL path at which a VM accepts the connections of other VMs.
const Path = "/v1/peer"

// Receiver handles received messages and failures to send. Its methods must not block.
type Receiver interface {
	// Receive handles a message from another VM.
	Receive(from netip.AddrPort, message *wire.Envelope)
	// Undelivered reports messages that Send accepted but that were never written.
	Undelivered(vm netip.AddrPort, messages []*wire.Envelope)
	// Connected reports that a connection to the VM has opened. Send drops messages while there is none.
	Connected(vm netip.AddrPort)
	// Disconnected reports that a connection to the VM has ended; messages already written to it may not have
	// arrived.
	Disconnected(vm netip.AddrPort)
	// ConnectFailed reports that a connection to the VM could not be opened.
	ConnectFailed(vm netip.AddrPort)
}

// Hub manages the connections between one VM and the others; it is safe for concurrent use.
type Hub struct {
	self  wire.Hello
	codec *codec.Codec
	opts  options

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	receiver Receiver
	links    map[netip.AddrPort]*link
}

var _ transport.PeerMessenger = (*Hub)(nil)

// New returns a hub for the VM described by hello, which is the first message on each connection that it opens.
func New(hello wire.Hello, c *codec.Codec, opts ...Option) *Hub {
	o := defaultOptions()
	for _, opt := range opts {
		opt(&o)
	}
	h := &Hub{self: hello, codec: c, opts: o, links: map[netip.AddrPort]*link{}}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	return h
}

// Start sets the receiver; the hub opens and accepts no connections before.
func (h *Hub) Start(r Receiver) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.receiver = r
}

// Connect keeps a connection to a VM open until Disconnect is called; it does nothing if there is such a connection already.
func (h *Hub) Connect(vm netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.links[vm] != nil || h.receiver == nil || h.ctx.Err() != nil {
		return
	}
	l := newLink(h, vm, h.receiver)
	h.links[vm] = l
	h.wg.Go(l.run)
}

// Disconnect closes the connection to a VM. Messages still queued for it are reported as undelivered.
func (h *Hub) Disconnect(vm netip.AddrPort) {
	h.mu.Lock()
	l := h.links[vm]
	delete(h.links, vm)
	h.mu.Unlock()
	if l != nil {
		l.cancel()
	}
}

// Send queues a message for a VM; it returns false if the message will not be sent.
func (h *Hub) Send(vm netip.AddrPort, message *wire.Envelope) bool {
	h.mu.Lock()
	l := h.links[vm]
	h.mu.Unlock()
	return l != nil && l.enqueue(h.newOutgoing(message))
}

// SendAll queues a message for several VMs and encodes it once.
func (h *Hub) SendAll(vms []netip.AddrPort, message *wire.Envelope) {
	m := h.newOutgoing(message)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, vm := range vms {
		if l := h.links[vm]; l != nil {
			l.enqueue(m)
		}
	}
}

// outgoing is a queued message; several links may share it. Its functions encode the message on the first call.
type outgoing struct {
	message      *wire.Envelope
	frame        func() ([]byte, error)
	earlierFrame func() ([]byte, error) // for VMs of the earlier version
}

func (h *Hub) newOutgoing(m *wire.Envelope) *outgoing {
	return &outgoing{
		message:      m,
		frame:        sync.OnceValues(func() ([]byte, error) { return h.codec.EncodeFrame(m) }),
		earlierFrame: sync.OnceValues(func() ([]byte, error) { return h.codec.EncodeFrame(codec.ForEarlierVersion(m)) }),
	}
}

// Peers returns the VMs that the hub keeps a connection to.
func (h *Hub) Peers() []netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	vms := make([]netip.AddrPort, 0, len(h.links))
	for vm := range h.links {
		vms = append(vms, vm)
	}
	return vms
}

// Close closes all connections and waits for their goroutines.
func (h *Hub) Close() {
	h.cancel()
	h.wg.Wait()
}

// ServeHTTP accepts a connection of another VM and receives messages on it until it ends.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	receiver := h.receiver
	if receiver == nil || h.ctx.Err() != nil {
		h.mu.Unlock()
		http.Error(w, result.New(result.NotReady, "the VM does not take part yet").Error(), http.StatusServiceUnavailable)
		return
	}
	h.wg.Add(1)
	h.mu.Unlock()
	defer h.wg.Done()
	c, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: h.opts.subprotocols})
	if err != nil {
		return // Accept has written the error response
	}
	defer func() { _ = c.CloseNow() }()
	c.SetReadLimit(-1) // read enforces the limit and reports the fault, which the library's limit would not do
	if c.Subprotocol() == "" {
		fault := result.NewFieldError(result.WrongSubprotocol, "Sec-WebSocket-Protocol", "", strings.Join(h.opts.subprotocols, ", "))
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
	a := newAssembler(h)
	defer a.close()
	for {
		m, err := h.read(c)
		if err == nil && m.Fragment != nil {
			m, err = a.add(from, m.Fragment)
		}
		if err != nil {
			h.reject(c, err)
			return
		}
		if m != nil {
			receiver.Receive(from, m)
		}
	}
}

// read returns the next message. Peers send heartbeats, so a connection without any message for the silence
// limit is closed.
func (h *Hub) read(c *websocket.Conn) (*wire.Envelope, error) {
	watchdog := time.AfterFunc(h.opts.maxSilence, func() {
		h.reject(c, result.New(result.Late, "no message for "+h.opts.maxSilence.String()))
	})
	defer watchdog.Stop()
	// A peer that cannot be reached does not answer the close frame; the timeout then ends the connection.
	ctx, cancel := context.WithTimeout(h.ctx, h.opts.maxSilence+h.opts.ioTimeout)
	defer cancel()
	_, message, err := c.Reader(ctx)
	if err != nil {
		return nil, err
	}
	frame, taken, err := h.readFrame(message)
	defer h.opts.readBudget.Return(taken)
	if err != nil {
		return nil, err
	}
	return h.codec.DecodeFrame(frame, h.opts.frameLimit)
}

// freeFrameBytes is the part of a message that is read without asking the budget. Heartbeats and most parts are smaller,
// so that links last when the budget is exhausted.
const freeFrameBytes = 16 << 10

// readFrame reads a message of at most one byte more than the frame limit, and returns how many bytes it took from the
// budget. Memory grows as bytes arrive.
func (h *Hub) readFrame(r io.Reader) (frame []byte, taken int64, err error) {
	r = io.LimitReader(r, int64(h.opts.frameLimit)+1)
	var buf bytes.Buffer
	for size := int64(freeFrameBytes); ; size *= 2 {
		n, err := io.CopyN(&buf, r, size)
		if err == io.EOF {
			return buf.Bytes(), taken, nil
		}
		if err != nil {
			return nil, taken, err
		}
		if n = 2 * size; !h.opts.readBudget.Take(n) {
			return nil, taken, result.New(result.Overloaded, "no memory for the message")
		}
		taken += n
	}
}

// reject closes a connection with err as the reason; without an error, the first message was not hello.
func (h *Hub) reject(c *websocket.Conn, err error) {
	reason := result.New(result.Malformed, "the first message must be hello").Error()
	if err != nil {
		reason = err.Error()
	}
	const maxReason = 120 // in bytes; a close frame holds at most 123 bytes of reason
	if len(reason) > maxReason {
		reason = reason[:maxReason]
	}
	_ = c.Close(websocket.StatusPolicyViolation, reason)
}

func (h *Hub) dial(ctx context.Context, vm netip.AddrPort) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.ioTimeout)
	defer cancel()
	c, resp, err := websocket.Dial(ctx, "ws://"+vm.String()+Path, &websocket.DialOptions{
		Subprotocols: h.opts.subprotocols, HTTPClient: h.opts.client,
	})
	if err != nil {
		if resp != nil && resp.Body != nil {
			_ = resp.Body.Close()
		}
		return nil, err
	}
	hello := h.self
	frame, err := h.newOutgoing(&wire.Envelope{Kind: codec.KindHello, Hello: &hello}).frame()
	if err == nil {
		err = h.write(ctx, c, frame)
	}
	if err != nil {
		_ = c.CloseNow()
		return nil, err
	}
	return c, nil
}

func (h *Hub) write(ctx context.Context, c *websocket.Conn, frame []byte) error {
	ctx, cancel := context.WithTimeout(ctx, h.opts.ioTimeout)
	defer cancel()
	return c.Write(ctx, websocket.MessageBinary, frame)
}
