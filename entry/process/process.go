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
	"pistachioshore.dev/transport"
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

// ShutdownTimeout bounds a graceful shutdown, the closing of connections included.
const ShutdownTimeout = 10 * time.Second

// Settings are everything that the process learns from its flags and environment.
type Settings struct {
	VM           vm.Settings
	Platform     netip.AddrPort
	Telemetry    telemetry.Options
	LogOutput    io.Writer
	Listener     net.Listener    // already open on the VM's address; nil to listen at the start
	Dial         transport.Dial  // opens every connection of the VM; nil for the network itself
	StepObserver vm.StepObserver // nil outside tests
}

// Process is one entry VM with everything that it holds.
type Process struct {
	app   *fx.App
	parts parts
}

// New builds a process; extra options replace or add parts.
func New(s Settings, extra ...fx.Option) (*Process, error) {
	p := &Process{}
	p.app = fx.New(append([]fx.Option{
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(ShutdownTimeout),
		fx.Supply(s, s.VM, s.Telemetry),
		fx.Provide(
			newLogger, newMetrics, newTracing, newObservers,
			codec.New, newHub, newTransports, newPolicies,
			vm.New, newTier, front.New, newServer,
		),
		fx.Populate(&p.parts),
		fx.Invoke(run),
	}, extra...)...)
	return p, errors.Wrap(p.app.Err(), "build the process")
}

// Start listens and begins to serve.
func (p *Process) Start(ctx context.Context) error {
	return errors.Wrap(p.app.Start(ctx), "start the process")
}

// Stop shuts the process down gracefully.
func (p *Process) Stop(ctx context.Context) error {
	return errors.Wrap(p.app.Stop(ctx), "stop the process")
}

// Run serves until the process is told to stop by SIGINT or SIGTERM, and shuts it down gracefully.
func (p *Process) Run() error {
	if err := p.Start(context.Background()); err != nil {
		return err
	}
	<-p.app.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), ShutdownTimeout)
	defer cancel()
	return p.Stop(ctx)
}

// Kill ends the process as a crash would: every connection breaks and nothing more is sent. It is
// for tests; Stop must not be called afterwards.
func (p *Process) Kill() {
	p.parts.VM.Kill()
	_ = p.parts.Server.Close()
	p.parts.Hub.Close()
	p.parts.VM.Close()
}

// VM returns the entry VM, for tests that look into it.
func (p *Process) VM() *vm.VM {
	return p.parts.VM
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

func newObservers(s Settings, l log.Logger, m *metrics, t *tracing) vm.Instrumentation {
	return vm.Instrumentation{Log: l, Counters: m.counters, Tracer: t.provider.Tracer("pistachioshore.dev/entry"), StepObserver: s.StepObserver}
}

// dialer returns how the connections of the VM are opened.
func (s Settings) dialer() transport.Dial {
	if s.Dial != nil {
		return s.Dial
	}
	return new(net.Dialer).DialContext
}

func newHub(ps Settings, s vm.Settings, c *codec.Codec) *socket.Hub {
	return socket.New(wire.Hello{VM: s.Address, Zone: s.Zone, Incarnation: s.Incarnation}, c, socket.WithDial(ps.dialer()))
}

func newTransports(s Settings, h *socket.Hub, t *tracing) vm.Transports {
	return vm.Transports{
		Platform:  feed.New(s.Platform, feed.WithDial(s.dialer())),
		Upstreams: rest.New(rest.WithDial(s.dialer()), rest.WithTrace(otelhttp.WithTracerProvider(t.provider), otelhttp.WithPropagators(t.propagator))),
		Canceller: rest.NewControls(rest.WithDial(s.dialer())),
		Peers:     h,
	}
}

// newPolicies returns the policies in use; experiments decorate them with others.
func newPolicies() vm.Policies {
	return vm.Policies{Chooser: balancer.NewChooser(outcome.New[string](), balancer.NewLatencyEstimator(balancer.DefaultLatencySettings()))}
}

func newTier(v *vm.VM) entry.Tier {
	return v
}

// newServer serves callers, other VMs and operators on one address.
func newServer(f *front.Handler, h *socket.Hub, m *metrics, t *tracing) *http.Server {
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

	Process  Settings
	Settings vm.Settings
	Log      log.Logger
	VM       *vm.VM
	Hub      *socket.Hub
	Server   *http.Server
	Metrics  *metrics
	Tracing  *tracing
}

func (p parts) listen() (net.Listener, error) {
	if p.Process.Listener != nil {
		return p.Process.Listener, nil
	}
	l, err := net.Listen("tcp", p.Settings.Address.String())
	return l, errors.Wrapf(err, "listen on %s", p.Settings.Address)
}

// run ties the process to the application: it listens first, so that a busy address fails the
// start, and it stops serving last, so that no accepted request is cut off.
func run(lc fx.Lifecycle, p parts) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := p.listen()
			if err != nil {
				return err
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
