package upstream

import (
	"pistachioshore.dev/catalog"
	"pistachioshore.dev/record"
	"pistachioshore.dev/standin"
)

type options struct {
	zone   string
	base   Settings
	loader func(cfg *catalog.Config, service string) Loader
	listen func(server catalog.Server) standin.ListenFunc
}

// Option changes how the upstreams of a configuration are served.
type Option func(o *options)

func defaultOptions() options {
	return options{
		loader: func(*catalog.Config, string) Loader { return noRecords },
		listen: func(server catalog.Server) standin.ListenFunc { return standin.ListenTCP(server.Address) },
	}
}

func noRecords(string, uint64) ([]record.Record, bool) { return nil, false }

// WithZone serves only the upstreams of one availability zone.
func WithZone(zone string) Option {
	return func(o *options) { o.zone = zone }
}

// WithBaseSettings sets what the configuration does not state: queue, service time, seed and the like.
func WithBaseSettings(s Settings) Option {
	return func(o *options) { o.base = s }
}

// WithLoader sets where the records of a service come from; without it no shard is known.
func WithLoader(loader func(cfg *catalog.Config, service string) Loader) Option {
	return func(o *options) { o.loader = loader }
}

// WithListen sets where a server listens, if not at the address of the configuration.
func WithListen(listen func(server catalog.Server) standin.ListenFunc) Option {
	return func(o *options) { o.listen = listen }
}
