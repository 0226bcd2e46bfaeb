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

// traffic counts the messages between VMs by their kind while it is on. Counting encodes each message
// once more, so processor time is measured while it is off.
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

// option has every VM's messages counted.
func (t *traffic) option() fx.Option {
	return fx.Decorate(func(to vm.Transports) vm.Transports {
		to.Peers = counted{to.Peers, t}
		return to
	})
}

func (t *traffic) count(m *wire.Envelope) {
	raw, err := t.codec.EncodeFrame(m)
	if err != nil {
		return // the hub refuses to send it too
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bytes[m.Kind] += len(raw)
	t.messages[m.Kind]++
}

// of returns the bytes and messages of the kinds.
func (t *traffic) of(kinds ...string) (bytes, messages float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range kinds {
		bytes += float64(t.bytes[k])
		messages += float64(t.messages[k])
	}
	return bytes, messages
}

// counted is a peer transport whose messages are counted.
type counted struct {
	transport.PeerMessenger
	traffic *traffic
}

// Send counts the message before it sends it.
func (c counted) Send(to netip.AddrPort, m *wire.Envelope) bool {
	if c.traffic.on.Load() {
		c.traffic.count(m)
	}
	return c.PeerMessenger.Send(to, m)
}
