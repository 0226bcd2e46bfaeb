// Package process wires the components of an entry VM together and manages their lifecycle.
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

// Timeouts of the caller-facing HTTP server. A slow client occupies a connection but no worker.
const (
	readHeaderTimeout = 2 * time.Second
	readTimeout       = 5 * time.Second
	writeTimeout      = 10 * time.Second
	idleTimeout       = 60 * time.Second
)

// ShutdownTimeout limits a graceful shutdown, including closing the connections.
const ShutdownTimeout = 10 * time.Second

// Settings holds the configuration that the process takes from its flags and environment.
type Settings struct {
	VM           vm.Settings
	Platform     netip.AddrPort // address of the configuration service and the VM list
	Telemetry    telemetry.Options
	LogOutput    io.Writer          // receives the log lines
	Listener     net.Listener       // already bound to the VM's address; if nil, Start opens it
	Dial         transport.DialFunc // dials all outgoing connections; nil selects net.Dialer
	StepObserver vm.StepObserver    // set only by tests
}

// Process is a running entry VM with all its components.
type Process struct {
	app        *fx.App
	components components
}

// New builds a process from s. The extra fx options add components or replace the default ones.
func New(s Settings, extra ...fx.Option) (*Process, error) {
	p := &Process{}
	p.app = fx.New(append([]fx.Option{
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(ShutdownTimeout),
		fx.Supply(s, s.VM, s.Telemetry),
		fx.Provide(
			newLogger, newMetrics, newTracing, newInstrumentation,
			codec.New, newHub, newTransports, newPolicies,
			vm.New, newTier, front.New, newServer,
		),
		fx.Populate(&p.components),
		fx.Invoke(registerHooks),
	}, extra...)...)
	return p, errors.Wrap(p.app.Err(), "build the process")
}

// Start opens the listener and begins serving requests.
func (p *Process) Start(ctx context.Context) error {
	return errors.Wrap(p.app.Start(ctx), "start the process")
}

// Stop shuts the process down gracefully within the deadline of ctx.
func (p *Process) Stop(ctx context.Context) error {
	return errors.Wrap(p.app.Stop(ctx), "stop the process")
}

// Run serves requests until SIGINT or SIGTERM arrives, then shuts down gracefully.
func (p *Process) Run() error {
	if err := p.Start(context.Background()); err != nil {
		return err
	}
	<-p.app.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), ShutdownTimeout)
	defer cancel()
	return p.Stop(ctx)
}

// Kill simulates a crash for tests: it breaks all connections without sending anything else. Stop
// must not be called afterwards.
func (p *Process) Kill() {
	p.components.VM.Kill()
	_ = p.components.Server.Close()
	p.components.Hub.Close()
	p.components.VM.Close()
}

// VM returns the entry VM so that tests can inspect it.
func (p *Process) VM() *vm.VM {
	return p.components.VM
}

// metrics holds the counters, the HTTP handler that exposes them and the closer of their reporter.
type metrics struct {
	counters *telemetry.Counters
	handler  http.Handler
	closer   io.Closer
}

// tracing holds the tracer provider and the propagator that carries trace context across processes.
type tracing struct {
	provider   trace.TracerProvider
	propagator propagation.TextMapPropagator
	shutdown   func(ctx context.Context) error
}

func newLogger(s Settings) log.Logger {
	return telemetry.NewLogger(s.LogOutput, s.Telemetry)
}

func newMetrics(o telemetry.Options) (*metrics, error) {
	scope, handler, closer, err := telemetry.NewMetrics(o)
	if err != nil {
		return nil, errors.Wrap(err, "set up metrics")
	}
	return &metrics{counters: telemetry.NewCounters(scope), handler: handler, closer: closer}, nil
}

func newTracing(o telemetry.Options) (*tracing, error) {
	provider, propagator, shutdown, err := telemetry.NewTracer(context.Background(), o)
	if err != nil {
		return nil, errors.Wrap(err, "set up tracing")
	}
	return &tracing{provider: provider, propagator: propagator, shutdown: shutdown}, nil
}

func newInstrumentation(s Settings, l log.Logger, m *metrics, t *tracing) vm.Instrumentation {
	return vm.Instrumentation{Log: l, Counters: m.counters, Tracer: t.provider.Tracer("pistachioshore.dev/entry"), StepObserver: s.StepObserver}
}

// dialFunc returns the function that dials the VM's outgoing connections.
func (s Settings) dialFunc() transport.DialFunc {
	if s.Dial != nil {
		return s.Dial
	}
	return new(net.Dialer).DialContext
}

func newHub(processSettings Settings, s vm.Settings, c *codec.Codec) *socket.Hub {
	return socket.New(wire.Hello{VM: s.Address, Zone: s.Zone, Incarnation: s.Incarnation}, c, socket.WithDial(processSettings.dialFunc()))
}

func newTransports(s Settings, h *socket.Hub, t *tracing) vm.Transports {
	return vm.Transports{
		Platform:  feed.New(s.Platform, feed.WithDial(s.dialFunc())),
		Upstreams: rest.New(rest.WithDial(s.dialFunc()), rest.WithTrace(otelhttp.WithTracerProvider(t.provider), otelhttp.WithPropagators(t.propagator))),
		Canceller: rest.NewCanceller(rest.WithDial(s.dialFunc())),
		Peers:     h,
	}
}

// newPolicies returns the default policies. Load experiments replace them with fx.Decorate.
func newPolicies() vm.Policies {
	return vm.Policies{Chooser: balancer.NewChooser(outcome.New[string](), balancer.NewLatencyEstimator(balancer.DefaultLatencySettings()))}
}

func newTier(v *vm.VM) entry.Tier {
	return v
}

// newServer returns the server that callers, other VMs and operators reach on a single address.
func newServer(handler *front.Handler, hub *socket.Hub, m *metrics, t *tracing) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(socket.Path, hub)
	mux.Handle("/metrics", m.handler)
	mux.Handle("/", otelhttp.NewHandler(handler, "caller", otelhttp.WithTracerProvider(t.provider), otelhttp.WithPropagators(t.propagator)))
	return &http.Server{
		Handler: mux, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
	}
}

// components holds the components that the lifecycle hooks start and stop.
type components struct {
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

func (c components) listen() (net.Listener, error) {
	if c.Process.Listener != nil {
		return c.Process.Listener, nil
	}
	l, err := net.Listen("tcp", c.Settings.Address.String())
	return l, errors.Wrapf(err, "listen on %s", c.Settings.Address)
}

// registerHooks adds the start and stop hooks. The start hook opens the listener first, so that an
// address already in use fails the start. The stop hook drains the VM before it shuts down the
// server, so that accepted requests are still answered.
func registerHooks(lc fx.Lifecycle, c components) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := c.listen()
			if err != nil {
				return err
			}
			c.VM.Start()
			c.Hub.Start(c.VM)
			go func() { _ = c.Server.Serve(l) }() // returns ErrServerClosed on shutdown
			_ = level.Info(c.Log).Log("msg", "serving", "incarnation", c.Settings.Incarnation)
			return nil
		},
		OnStop: func(ctx context.Context) error { return shutDown(ctx, c) },
	})
}

func shutDown(ctx context.Context, c components) error {
	_ = level.Info(c.Log).Log("msg", "stopping")
	c.VM.Drain(ctx)
	err := c.Server.Shutdown(ctx)
	c.Hub.Close()
	c.VM.Close()
	err = errors.CombineErrors(err, c.Metrics.closer.Close())
	err = errors.CombineErrors(err, c.Tracing.shutdown(ctx))
	_ = level.Info(c.Log).Log("msg", "stopped")
	return err
}
