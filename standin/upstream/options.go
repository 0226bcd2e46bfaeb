package upstream

import (
	"pistachioshore.dev/catalog"
	"pistachioshore.dev/record"
	"pistachioshore.dev/standin"
)

type options struct {
	zone         string
	baseSettings Settings
	loader       func(cfg *catalog.Config, service string) Loader
	listen       func(server catalog.Server) standin.ListenFunc
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

// WithBaseSettings sets what the configuration does not contain, such as queue limit, service time and seed.
func WithBaseSettings(s Settings) Option {
	return func(o *options) { o.baseSettings = s }
}

// WithLoader sets where the records of a service come from; without it every shard is unknown.
func WithLoader(loader func(cfg *catalog.Config, service string) Loader) Option {
	return func(o *options) { o.loader = loader }
}

// WithListen sets how a server listens; the default is TCP on the address in the configuration.
func WithListen(listen func(server catalog.Server) standin.ListenFunc) Option {
	return func(o *options) { o.listen = listen }
}
