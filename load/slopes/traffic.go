package slopes

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"go.uber.org/fx"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/entry/vm"
	"pistachioshore.dev/transport"
	"pistachioshore.dev/wire"
)

// trafficCounter counts the messages between VMs by kind while it is enabled. Counting encodes each message a second
// time, so it is disabled while CPU time is measured.
type trafficCounter struct {
	enabled atomic.Bool
	codec   *codec.Codec

	mu       sync.Mutex
	bytes    map[string]int
	messages map[string]int
}

func newTrafficCounter() (*trafficCounter, error) {
	c, err := codec.New()
	return &trafficCounter{codec: c, bytes: map[string]int{}, messages: map[string]int{}}, err
}

// vmOption returns the option that counts the messages of a VM.
func (t *trafficCounter) vmOption() fx.Option {
	return fx.Decorate(func(transports vm.Transports) vm.Transports {
		transports.Peers = countingMessenger{transports.Peers, t}
		return transports
	})
}

func (t *trafficCounter) count(m *wire.Envelope) {
	raw, err := t.codec.EncodeFrame(m)
	if err != nil {
		return // the peer transport rejects the message too
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bytes[m.Kind] += len(raw)
	t.messages[m.Kind]++
}

// totals returns the bytes and messages counted for the given kinds.
func (t *trafficCounter) totals(kinds ...string) (bytes, messages float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range kinds {
		bytes += float64(t.bytes[k])
		messages += float64(t.messages[k])
	}
	return bytes, messages
}

// countingMessenger is a peer transport that counts the messages sent.
type countingMessenger struct {
	transport.PeerMessenger
	counter *trafficCounter
}

// Send counts the message if counting is enabled, then sends it.
func (c countingMessenger) Send(to netip.AddrPort, m *wire.Envelope) bool {
	if c.counter.enabled.Load() {
		c.counter.count(m)
	}
	return c.PeerMessenger.Send(to, m)
}
