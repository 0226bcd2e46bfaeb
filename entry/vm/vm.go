// Package vm assembles one entry VM from its tables, its pools of workers and its transports.
package vm

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/trace"

	"pistachioshore.dev/balancer"
	"pistachioshore.dev/budget"
	"pistachioshore.dev/catalog"
	"pistachioshore.dev/entry"
	"pistachioshore.dev/fleet"
	"pistachioshore.dev/gather"
	"pistachioshore.dev/permit"
	"pistachioshore.dev/pool"
	"pistachioshore.dev/quarantine"
	"pistachioshore.dev/shutdown"
	"pistachioshore.dev/telemetry"
	"pistachioshore.dev/transport"
	"pistachioshore.dev/upstream"
)

// Workers of the pools that do not wait for upstreams.
const (
	controlWorkers = 2  // tick and handle heartbeats, so that a backlog of parts does not look like a pause
	eventWorkers   = 8  // handle messages, timers and steps of requests, and never block
	requestWorkers = 64 // bound the orders that other VMs have passed on
)

// Settings are what a VM learns from its flags and environment.
type Settings struct {
	Address     netip.AddrPort // where callers and other VMs reach this VM
	Zone        string
	Incarnation uint64 // differs each time that the process starts
	Workers     int    // calls under way at upstreams
	BalancerLag time.Duration
}

// Transports reach everything outside the VM.
type Transports struct {
	Platform  transport.Platform
	Upstreams transport.Upstream
	Canceller transport.Canceller
	Peers     transport.Peer
}

// Policies are the choices that an experiment may replace.
type Policies struct {
	Chooser Chooser
}

// Chooser picks replicas and learns from outcomes; all queries of a VM share one.
type Chooser interface {
	gather.Chooser
	// Observe takes how an attempt of the group ended at the server.
	Observe(now time.Time, group, server string, o balancer.Observation)
}

var _ Chooser = (*balancer.Chooser)(nil)

// Instrumentation take what the VM reports about itself.
type Instrumentation struct {
	Log          log.Logger
	Counters     *telemetry.Counters
	Tracer       trace.Tracer
	StepObserver StepObserver // nil outside tests
}

// VM is one entry VM.
type VM struct {
	settings Settings
	to       Transports
	observe  Instrumentation
	started  time.Time

	catalog    *catalog.Store
	fleet      *fleet.Table
	owned      *upstream.Table[work]
	quarantine *quarantine.Table
	permits    *permit.Table
	admission  *budget.Admission
	shedder    *budget.Shedder
	chooser    Chooser
	stopping   *shutdown.StateMachine

	attempts  *attempts            // attempts sent, by their key
	forwarded *replies[orderReply] // orders passed to the issuers of their permits
	asked     *replies[canaryReply]
	conns     *connections
	handovers *handovers
	routes    *routeBudgets
	contacts  *contacts

	nextID   atomic.Uint64
	calls    *pool.Pool[func()]
	control  *pool.Pool[func()]
	events   *pool.Pool[func()]
	requests *pool.Pool[func()]
	timers   *pool.Timers[func()]
	ticks    *pool.Timers[func()]

	ctx    context.Context // ends the background reads
	cancel context.CancelFunc
	reads  sync.WaitGroup
}

var _ entry.Tier = (*VM)(nil)

// New returns a VM that is not started yet.
func New(s Settings, to Transports, o Instrumentation, p Policies) *VM {
	now := time.Now()
	self := fleet.Self{Address: s.Address, Zone: s.Zone, Incarnation: s.Incarnation}
	vm := &VM{
		settings: s, to: to, observe: o, started: now,
		catalog:    catalog.NewStore(),
		fleet:      fleet.New(self, fleet.DefaultSettings(), now),
		owned:      upstream.New[work](upstream.DefaultSettings()),
		quarantine: quarantine.New(quarantine.DefaultSettings()),
		permits:    permit.New(s.Address, s.Incarnation, permit.DefaultSettings()),
		admission:  budget.NewAdmission(1),
		shedder:    budget.NewShedder(),
		chooser:    p.Chooser,
		stopping:   shutdown.New(shutdown.Settings{BalancerLag: s.BalancerLag}),
		attempts:   newAttempts(),
		forwarded:  newReplies[orderReply](),
		asked:      newReplies[canaryReply](),
		conns:      newConnections(),
		handovers:  newHandovers(),
		routes:     newRouteBudgets(),
		contacts:   newContacts(),
	}
	vm.ctx, vm.cancel = context.WithCancel(context.Background())
	return vm
}

// Start starts the workers, the ticks and the reads from the platform.
func (vm *VM) Start() {
	run := func(task func()) { task() }
	vm.calls = pool.New(vm.settings.Workers, run)
	vm.control = pool.New(controlWorkers, run)
	vm.events = pool.New(eventWorkers, run)
	vm.requests = pool.New(requestWorkers, run)
	vm.timers = pool.NewTimers[func()](vm.events)
	vm.ticks = pool.NewTimers[func()](vm.control)
	vm.control.Submit(vm.tick)
	vm.reads.Go(vm.watchConfig)
	vm.reads.Go(vm.readVMs)
}

// Kill breaks the connections to upstreams without a drain, as the end of the process would.
func (vm *VM) Kill() {
	vm.cancel()
	vm.conns.closeAll()
}

// Close ends the reads, runs what is queued and waits for the workers.
func (vm *VM) Close() {
	vm.cancel()
	vm.reads.Wait()
	vm.ticks.Stop()
	vm.timers.Stop()
	vm.requests.Stop()
	vm.calls.Stop()
	vm.control.Stop()
	vm.events.Stop()
	vm.conns.closeAll()
}

// MaxBodyBytes returns the largest body in bytes that is read now.
func (vm *VM) MaxBodyBytes() int {
	if cfg := vm.catalog.Current(); cfg != nil {
		return cfg.Limits.BodyBytes
	}
	return 1 << 16
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
