package rest

import (
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"pistachioshore.dev/transport"
)

type options struct {
	maxBody int64
	trace   []otelhttp.Option
	dial    transport.DialFunc
}

// Option changes a setting of a client.
type Option func(o *options)

// WithMaxBody bounds the bytes of one response; the default is 1 MiB.
func WithMaxBody(n int64) Option {
	return func(o *options) { o.maxBody = n }
}

// WithTrace passes options to the instrumentation that makes a span for each call.
func WithTrace(opts ...otelhttp.Option) Option {
	return func(o *options) { o.trace = append(o.trace, opts...) }
}

// WithDial sets how connections are opened; the default is a net.Dialer.
func WithDial(dial transport.DialFunc) Option {
	return func(o *options) { o.dial = dial }
}
