// Package process builds everything that the process of one entry VM holds and runs it.
package process

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"pistachioshore.dev/balancer"
	"pistachioshore.dev/balancer/outcome"
	"pistachioshore.dev/codec"
	"pistachioshore.dev/entry"
	"pistachioshore.dev/entry/front"
	"pistachioshore.dev/entry/vm"
	"pistachioshore.dev/telemetry"
	"pistachioshore.dev/transport/feed"
	"pistachioshore.dev/transport/rest"
	"pistachioshore.dev/transport/socket"
	"pistachioshore.dev/wire"
)

// Bounds of the caller-facing server; a client that is slower holds a connection, not a worker.
const (
	headerTime = 2 * time.Second
	readTime   = 5 * time.Second
	writeTime  = 10 * time.Second
	idleTime   = 60 * time.Second
)

// StopTime bounds a graceful shutdown, the closing of connections included.
const StopTime = 10 * time.Second

// Settings are everything that the process learns from its flags and environment.
type Settings struct {
	VM        vm.Settings
	Platform  netip.AddrPort
	Telemetry telemetry.Options
	LogOutput io.Writer
}

// New returns the application of one entry VM; extra options replace or add parts.
func New(s Settings, extra ...fx.Option) *fx.App {
	return fx.New(append([]fx.Option{
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(StopTime),
		fx.Supply(s, s.VM, s.Telemetry),
		fx.Provide(
			newLogger, newMetrics, newTracing, newObservers,
			codec.New, newHub, newTransports, newPolicies,
			vm.New, newTier, front.New, newServer,
		),
		fx.Invoke(run),
	}, extra...)...)
}

// metrics is the scope that counters are built on and the page that shows them.
type metrics struct {
	counters *telemetry.Counters
	page     http.Handler
	closer   io.Closer
}

// tracing is the provider of spans with the form in which their context travels.
type tracing struct {
	provider   trace.TracerProvider
	propagator propagation.TextMapPropagator
	shutdown   func(ctx context.Context) error
}

func newLogger(s Settings) log.Logger {
	return telemetry.NewLogger(s.LogOutput, s.Telemetry)
}

func newMetrics(o telemetry.Options) (*metrics, error) {
	scope, page, closer, err := telemetry.NewMetrics(o)
	if err != nil {
		return nil, errors.Wrap(err, "set metrics up")
	}
	return &metrics{counters: telemetry.NewCounters(scope), page: page, closer: closer}, nil
}

func newTracing(o telemetry.Options) (*tracing, error) {
	provider, propagator, shutdown, err := telemetry.NewTracer(context.Background(), o)
	if err != nil {
		return nil, errors.Wrap(err, "set traces up")
	}
	return &tracing{provider: provider, propagator: propagator, shutdown: shutdown}, nil
}

func newObservers(l log.Logger, m *metrics, t *tracing) vm.Observers {
	return vm.Observers{Log: l, Counters: m.counters, Tracer: t.provider.Tracer("pistachioshore.dev/entry")}
}

func newHub(s vm.Settings, c *codec.Codec) *socket.Hub {
	return socket.New(wire.Hello{VM: s.Address, Zone: s.Zone, Incarnation: s.Incarnation}, c)
}

func newTransports(s Settings, h *socket.Hub, t *tracing) vm.Transports {
	return vm.Transports{
		Platform:  feed.New(s.Platform),
		Upstreams: rest.New(rest.WithTrace(otelhttp.WithTracerProvider(t.provider), otelhttp.WithPropagators(t.propagator))),
		Canceller: rest.NewControls(),
		Peers:     h,
	}
}

// newPolicies returns the policies in use; experiments decorate them with others.
func newPolicies() vm.Policies {
	return vm.Policies{Chooser: balancer.NewChooser(outcome.New[string](), balancer.NewLatency(balancer.LatencyDefaults()))}
}

func newTier(v *vm.VM) entry.Tier {
	return v
}

// newServer serves callers, other VMs and operators on one address.
func newServer(f *front.Front, h *socket.Hub, m *metrics, t *tracing) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(socket.Path, h)
	mux.Handle("/metrics", m.page)
	mux.Handle("/", otelhttp.NewHandler(f, "caller", otelhttp.WithTracerProvider(t.provider), otelhttp.WithPropagators(t.propagator)))
	return &http.Server{
		Handler: mux, ReadHeaderTimeout: headerTime, ReadTimeout: readTime, WriteTimeout: writeTime, IdleTimeout: idleTime,
	}
}

// parts are what run starts and stops, in this order and its reverse.
type parts struct {
	fx.In

	Settings vm.Settings
	Log      log.Logger
	VM       *vm.VM
	Hub      *socket.Hub
	Server   *http.Server
	Metrics  *metrics
	Tracing  *tracing
}

// run ties the process to the application: it listens first, so that a busy address fails the
// start, and it stops serving last, so that no accepted request is cut off.
func run(lc fx.Lifecycle, p parts) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := net.Listen("tcp", p.Settings.Address.String())
			if err != nil {
				return errors.Wrapf(err, "listen on %s", p.Settings.Address)
			}
			p.VM.Start()
			p.Hub.Start(p.VM)
			go func() { _ = p.Server.Serve(l) }() // ends with ErrServerClosed at the stop
			_ = level.Info(p.Log).Log("msg", "serving", "incarnation", p.Settings.Incarnation)
			return nil
		},
		OnStop: func(ctx context.Context) error { return stop(ctx, p) },
	})
}

func stop(ctx context.Context, p parts) error {
	_ = level.Info(p.Log).Log("msg", "stopping")
	p.VM.Drain(ctx)
	err := p.Server.Shutdown(ctx)
	p.Hub.Close()
	p.VM.Close()
	err = errors.CombineErrors(err, p.Metrics.closer.Close())
	err = errors.CombineErrors(err, p.Tracing.shutdown(ctx))
	_ = level.Info(p.Log).Log("msg", "stopped")
	return err
}
