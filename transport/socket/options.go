package socket

import (
	"net/http"
	"time"

	"pistachioshore.dev/transport"
)

type options struct {
	frameLimit int
	ping       time.Duration
	progress   time.Duration
	silence    time.Duration
	redial     time.Duration
	queue      int
	client     *http.Client
}

func defaultOptions() options {
	return options{
		frameLimit: 1 << 20,
		ping:       200 * time.Millisecond,
		progress:   600 * time.Millisecond,
		silence:    3 * time.Second,
		redial:     200 * time.Millisecond,
		queue:      4096,
		client:     &http.Client{Transport: &http.Transport{}},
	}
}

// Option changes a setting of a hub.
type Option func(o *options)

// WithFrameLimit bounds the bytes of one message; the default is 1 MiB.
func WithFrameLimit(n int) Option {
	return func(o *options) { o.frameLimit = n }
}

// WithPing sets how often a connection is pinged and how long a pong, a write or a dial may take.
func WithPing(every, limit time.Duration) Option {
	return func(o *options) { o.ping, o.progress = every, limit }
}

// WithQueueLimit bounds the messages that wait for one connection; the default is 4096.
func WithQueueLimit(n int) Option {
	return func(o *options) { o.queue = n }
}

// WithDial sets how connections are opened; the default is a net.Dialer.
func WithDial(dial transport.DialFunc) Option {
	return func(o *options) { o.client = &http.Client{Transport: &http.Transport{DialContext: dial}} }
}
