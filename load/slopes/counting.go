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
type traffic struct {
	on    atomic.Bool
	codec *codec.Codec

	mu       sync.Mutex
	bytes    map[string]int
	messages map[string]int
}

func newTraffic() (*traffic, error) {
	c, err := codec.New()
	return &traffic{codec: c, bytes: map[string]int{}, messages: map[string]int{}}, err
}

// vmOption returns the option that counts the messages of a VM.
func (t *traffic) option() fx.Option {
	return fx.Decorate(func(to vm.Transports) vm.Transports {
		to.Peers = counted{to.Peers, t}
		return to
	})
}

func (t *traffic) count(m *wire.Envelope) {
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
func (t *traffic) of(kinds ...string) (bytes, messages float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range kinds {
		bytes += float64(t.bytes[k])
		messages += float64(t.messages[k])
	}
	return bytes, messages
}

// countingMessenger is a peer transport that counts the messages sent.
type counted struct {
	transport.PeerMessenger
	traffic *traffic
}

// Send counts the message if counting is enabled, then sends it.
func (c counted) Send(to netip.AddrPort, m *wire.Envelope) bool {
	if c.traffic.on.Load() {
		c.traffic.count(m)
	}
	return c.PeerMessenger.Send(to, m)
}
