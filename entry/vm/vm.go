// Package vm implements an entry VM on top of its state tables, worker pools and transports.
//
// Each upstream has an owner VM in its availability zone, which limits and queues the work there. The
// other VMs send their sub-requests to the owner VM instead of to the upstream. A VM that loses the
// ownership of an upstream hands its state over to the next owner VM.
//
// A fingerprint is a hash of the content of a request. The coordinator of a fingerprint is the VM that
// ranks first for it; it decides whether requests with the fingerprint may run. One that is not known to
// be safe first runs as a canary on a single shard, because it may crash upstreams. A fingerprint whose
// requests have crashed upstreams is quarantined: requests with it are refused for a time.
//
// An order needs a permit, and only the issuer of the permit, the VM that the caller got it from, runs
// the order.
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

// Sizes of the worker pools that do not wait for upstreams.
const (
	// controlWorkers run ticks and handle heartbeats, separately from the other work, so that a backlog
	// of sub-request results is not mistaken for a pause of the process.
	controlWorkers = 2

	// eventWorkers handle messages, timers and the progress of requests. These tasks never block.
	eventWorkers = 8

	// requestWorkers run tasks that may block, and limit how many forwarded orders run at once.
	requestWorkers = 64
)

// Settings holds the part of a VM's configuration that comes from flags and environment.
type Settings struct {
	Address     netip.AddrPort // on which callers and other VMs reach this VM
	Zone        string         // availability zone of this VM
	Incarnation uint64         // unique for each start of the process
	Workers     int            // maximum number of concurrent calls to upstreams
	BalancerLag time.Duration  // how long the load balancer may still send requests after readiness is off
}

// Transports connects the VM to the platform, the upstreams and the other VMs.
type Transports struct {
	Platform  transport.Platform
	Upstreams transport.Connector
	Canceller transport.Canceller
	Peers     transport.PeerMessenger
}

// Policies holds the replaceable policies; load experiments substitute their own.
type Policies struct {
	Chooser Chooser
}

// Chooser picks replicas and learns from the results of earlier attempts. All queries of a VM share one.
type Chooser interface {
	gather.Chooser
	// Observe records how an attempt at the server ended; group is the group of the attempted shard.
	Observe(now time.Time, group, server string, o balancer.Observation)
}

var _ Chooser = (*balancer.Chooser)(nil)

// Instrumentation holds the destinations of the VM's logs, metrics and traces.
type Instrumentation struct {
	Log          log.Logger
	Counters     *telemetry.Counters
	Tracer       trace.Tracer
	StepObserver StepObserver // set only by tests
}

// VM is an entry VM; it implements entry.Tier.
type VM struct {
	settings        Settings
	transports      Transports
	instrumentation Instrumentation
	startedAt       time.Time

	catalog    *catalog.Store
	fleet      *fleet.Table
	upstreams  *upstream.Table[payload]
	quarantine *quarantine.Table
	permits    *permit.Table
	admission  *budget.Admission
	shedder    *budget.Shedder
	chooser    Chooser
	shutdown   *shutdown.StateMachine

	pendingAttempts *pendingAttempts              // attempts sent and not answered
	orderReplies    *pendingReplies[orderReply]   // orders forwarded to the issuers of their permits
	verdictReplies  *pendingReplies[verdictReply] // verdicts requested from coordinators
	conns           *connections
	handovers       *handoverStore
	routeBudgets    *routeBudgets
	readiness       *readiness

	nextID        atomic.Uint64
	callPool      *pool.Pool[func()]
	controlPool   *pool.Pool[func()]
	eventPool     *pool.Pool[func()]
	requestPool   *pool.Pool[func()]
	eventTimers   *pool.Timers[func()]
	controlTimers *pool.Timers[func()]

	ctx     context.Context // cancelled to stop the background reads
	cancel  context.CancelFunc
	readers sync.WaitGroup
}

var _ entry.Tier = (*VM)(nil)

// New returns a VM. Call Start to run it.
func New(s Settings, transports Transports, instrumentation Instrumentation, policies Policies) *VM {
	now := time.Now()
	self := fleet.Self{Address: s.Address, Zone: s.Zone, Incarnation: s.Incarnation}
	vm := &VM{
		settings: s, transports: transports, instrumentation: instrumentation, startedAt: now,
		catalog:         catalog.NewStore(),
		fleet:           fleet.New(self, fleet.DefaultSettings(), now),
		upstreams:       upstream.New[payload](upstream.DefaultSettings()),
		quarantine:      quarantine.New(quarantine.DefaultSettings()),
		permits:         permit.New(s.Address, s.Incarnation, permit.DefaultSettings()),
		admission:       budget.NewAdmission(1),
		shedder:         budget.NewShedder(),
		chooser:         policies.Chooser,
		shutdown:        shutdown.New(shutdown.Settings{BalancerLag: s.BalancerLag}),
		pendingAttempts: newPendingAttempts(),
		orderReplies:    newPendingReplies[orderReply](),
		verdictReplies:  newPendingReplies[verdictReply](),
		conns:           newConnections(),
		handovers:       newHandoverStore(),
		routeBudgets:    newRouteBudgets(),
		readiness:       newReadiness(),
	}
	// IDs start at a random number: peers may still reply to messages of an earlier process with the same address.
	vm.nextID.Store(rand.Uint64())
	vm.ctx, vm.cancel = context.WithCancel(context.Background())
	return vm
}

// Start starts the worker pools, the periodic tick and the reads from the platform.
func (vm *VM) Start() {
	run := func(task func()) { task() }
	vm.callPool = pool.New(vm.settings.Workers, run)
	vm.controlPool = pool.New(controlWorkers, run)
	vm.eventPool = pool.New(eventWorkers, run)
	vm.requestPool = pool.New(requestWorkers, run)
	vm.eventTimers = pool.NewTimers[func()](vm.eventPool)
	vm.controlTimers = pool.NewTimers[func()](vm.controlPool)
	vm.controlPool.Submit(vm.tick)
	vm.readers.Go(vm.watchConfig)
	vm.readers.Go(vm.pollVMList)
}

// Kill closes the connections to upstreams without draining, as a crash of the process would.
func (vm *VM) Kill() {
	vm.cancel()
	vm.conns.closeAll()
}

// Close stops the background reads, runs the queued tasks and waits for the workers to finish.
func (vm *VM) Close() {
	vm.cancel()
	vm.readers.Wait()
	vm.controlTimers.Stop()
	vm.eventTimers.Stop()
	vm.requestPool.Stop()
	vm.callPool.Stop()
	vm.controlPool.Stop()
	vm.eventPool.Stop()
	vm.conns.closeAll()
}

// MaxBodyBytes returns the current limit on the size of a request body.
func (vm *VM) MaxBodyBytes() int {
	if cfg := vm.catalog.Current(); cfg != nil {
		return cfg.Limits.BodyBytes
	}
	return 1 << 16
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
