package socket

import (
	"net/http"
	"net/netip"
	"time"

	"pistachioshore.dev/transport"
)

type options struct {
	frameLimit   int
	messageLimit int
	pingInterval time.Duration
	ioTimeout    time.Duration
	maxSilence   time.Duration
	redialDelay  time.Duration
	queueLimit   int
	readBudget   ReadBudget
	onDropped    func(vm netip.AddrPort, reason error)
	client       *http.Client
	subprotocols []string // newest first
}

func defaultOptions() options {
	return options{
		frameLimit:   1 << 20,
		messageLimit: 16 << 20,
		pingInterval: 200 * time.Millisecond,
		ioTimeout:    600 * time.Millisecond,
		maxSilence:   3 * time.Second,
		redialDelay:  200 * time.Millisecond,
		queueLimit:   4096,
		readBudget:   unlimited{},
		onDropped:    func(netip.AddrPort, error) {},
		subprotocols: []string{Subprotocol, EarlierSubprotocol},
		client:       &http.Client{Transport: &http.Transport{}},
	}
}

// Option changes a setting of a hub.
type Option func(o *options)

// WithFrameLimit sets the largest frame in bytes; the default is 1 MiB. Larger messages are sent as fragments, but for those
// to VMs of earlier versions.
func WithFrameLimit(n int) Option {
	return func(o *options) { o.frameLimit = n }
}

// WithMessageLimit sets the largest message in bytes; the default is 16 MiB.
func WithMessageLimit(n int) Option {
	return func(o *options) { o.messageLimit = n }
}

// WithDropped sets a function that is called with each message that is dropped while its connection carries on: the other VM
// and the reason. The function must not block.
func WithDropped(dropped func(vm netip.AddrPort, reason error)) Option {
	return func(o *options) { o.onDropped = dropped }
}

// WithPing sets the interval between pings and the timeout for a pong, a write or a dial; the defaults are
// 200 ms and 600 ms.
func WithPing(interval, timeout time.Duration) Option {
	return func(o *options) { o.pingInterval, o.ioTimeout = interval, timeout }
}

// WithQueueLimit sets how many messages may be queued for one connection; the default is 4096.
func WithQueueLimit(n int) Option {
	return func(o *options) { o.queueLimit = n }
}

// ReadBudget bounds the bytes of messages that are being received.
type ReadBudget interface {
	// Take takes n bytes and returns false if they are not available.
	Take(n int64) bool
	// Return returns bytes that were taken.
	Return(n int64)
}

// unlimited is a ReadBudget without a bound.
type unlimited struct{}

// Take takes any number of bytes.
func (unlimited) Take(int64) bool { return true }

// Return does nothing.
func (unlimited) Return(int64) {}

// WithReadBudget sets a bound on the received messages of all connections together; without one only each message is
// bounded. A message for which the budget has no bytes closes its connection.
func WithReadBudget(b ReadBudget) Option {
	return func(o *options) { o.readBudget = b }
}

// WithDial sets how connections are opened; the default is a net.Dialer.
func WithDial(dial transport.DialFunc) Option {
	return func(o *options) { o.client = &http.Client{Transport: &http.Transport{DialContext: dial}} }
}
