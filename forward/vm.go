package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"pistachioshore.dev/aggregator"
	"pistachioshore.dev/balancer"
	"pistachioshore.dev/event"
	"pistachioshore.dev/pool"
	"pistachioshore.dev/quarantine"
	"pistachioshore.dev/replica"
	"pistachioshore.dev/result"
	"pistachioshore.dev/route"
	"pistachioshore.dev/table"
	"pistachioshore.dev/workload"
)

// VM is the request handler of one VM of the tier. It is safe for concurrent use.
type VM struct {
	settings Settings
	routes   *route.Store
	replicas *replica.Table
	splitter *route.Splitter
	latency  *balancer.LatencyEstimator
	work     *workload.Estimator
	budgets  *retryBudgets // for requests to one upstream

	shardBudgets *retryBudgets // for queries over shards, which are distributed differently over the VMs
	relay        Relay         // nil if this VM fans out all queries itself
	sender       Sender
	events       event.Recorder
	stats        *Stats
	crashTracker *quarantine.CrashTracker
	teams        *teams
	onCrash      func(c quarantine.Crash)                 // reports a crash to other VMs
	onDraining   func(server string, startedAt time.Time) // reports a draining upstream to other VMs

	ending  chan struct{} // closed when the requests in flight are to end
	endOnce sync.Once
	workers *pool.Pool[func()]
	timers  *pool.Timers[func()]
	waits   *waitQueues   // nil if requests never wait for an upstream
	seed    func() uint64 // seeds the choices of a query
	state   *table.Guarded[vmState]
}

// vmState is the mutable state of a VM.
type vmState struct {
	inFlight        int
	shares          aggregator.LimitShares
	refusing        bool
	isolated        bool
	healthCheckedAt time.Time // when unreachable zones were last checked
}

var _ Handler = (*VM)(nil)

// New returns a VM that serves the given routes from the given replicas.
func New(s Settings, routes *route.Store, replicas *replica.Table, sender Sender, events event.Recorder) *VM {
	vm := &VM{
		settings: s, routes: routes, replicas: replicas, sender: sender, events: events,
		splitter: route.NewSplitter(),
		latency:  balancer.NewLatencyEstimator(latencySettings()),
		work:     workload.New(),
		budgets:  newRetryBudgets(s.RetryRatio * retryBudgetUtilization),

		shardBudgets: newRetryBudgets(s.RetryRatio * retryBudgetUtilization),
		stats:        newStats(),
		crashTracker: quarantine.NewCrashTracker(quarantine.DefaultCrashTrackerSettings()),
		teams:        newTeams(s),
		onCrash:      func(quarantine.Crash) {},
		onDraining:   func(string, time.Time) {},
		ending:       make(chan struct{}),
		state:        table.NewGuarded(table.RankPending, vmState{shares: aggregator.LimitShares{Members: 1}}),
	}
	vm.waits, vm.seed = newWaitQueues(), rand.Uint64
	vm.workers = pool.NewOrdered(s.Workers, processingReserve, func(task func()) { task() })
	vm.workers.OnPanic(event.PanicHandler(events))
	vm.timers = pool.NewTimers[func()](vm.workers)
	vm.SetLimitShares(aggregator.LimitShares{Members: 1})
	return vm
}

// latencySettings returns the settings of the latency estimator. Each query also caps the hedge delay by its
// route's target latency.
func latencySettings() balancer.LatencySettings {
	s := balancer.DefaultLatencySettings()
	s.MinHedgeDelay = minHedgeDelay
	return s
}

// SetLimitShares sets how many VMs share the upstream limits and the retry budgets.
func (vm *VM) SetLimitShares(s aggregator.LimitShares) {
	vm.state.With(func(st *vmState) { st.shares = s })
	vm.replicas.SetMemberCount(s.ColdStartVMs())
	burst := float64(vm.settings.RetryBurst) * retryBudgetUtilization
	vm.budgets.setBurst(burst * s.SingleUpstream())
	vm.shardBudgets.setBurst(burst * s.ShardedQuery())
}

// SetRelay sets the relay that sends queries over shards to other VMs. It is not safe to call during Serve.
func (vm *VM) SetRelay(r Relay) {
	vm.relay = r
}

// OnCrash sets the function to call when an upstream seems to have crashed while running a request.
func (vm *VM) OnCrash(notify func(c quarantine.Crash)) {
	vm.onCrash = notify
}

// RefuseNew makes the VM refuse new requests as not run. Requests in flight continue.
func (vm *VM) RefuseNew() {
	vm.state.With(func(st *vmState) { st.refusing = true })
}

// EndRequests ends the requests in flight with what has been received for them, as at their deadlines.
func (vm *VM) EndRequests() {
	vm.endOnce.Do(func() { close(vm.ending) })
}

// InFlight returns the number of requests in flight.
func (vm *VM) InFlight() int {
	return table.WithResult(vm.state, func(st *vmState) int { return st.inFlight })
}

// Stats returns the counters of the VM.
func (vm *VM) Stats() *Stats {
	return vm.stats
}

// RetryBudgets returns the remaining tokens of each service, for queries over shards and for other requests together. A
// retry or hedge costs one token.
func (vm *VM) RetryBudgets() map[string]float64 {
	levels := vm.budgets.levels()
	for service, level := range vm.shardBudgets.levels() {
		levels[service] += level
	}
	return levels
}

// Close stops the workers. No request may be in flight.
func (vm *VM) Close() {
	vm.timers.Stop()
	vm.workers.Stop()
}

// Serve returns the answer to a request.
func (vm *VM) Serve(ctx context.Context, req *Request) (a Answer) {
	defer vm.containPanic(req, &a)
	defer func() { vm.returnRefused(req, a) }()
	cfg, denied := vm.config(req)
	if denied.code != 0 {
		return vm.refuse(req, nil, 0, denied)
	}
	r, ok := cfg.Match(req.Host, req.Path)
	if !ok {
		return vm.refuse(req, nil, cfg.Version, unknownRoute)
	}
	if denied := vm.recheckTeam(req, cfg, r); denied.code != 0 {
		return vm.refuse(req, r, cfg.Version, denied)
	}
	fingerprint := fingerprintOf(req)
	if vm.crashTracker.Blocked(time.Now(), fingerprint) {
		return vm.refuse(req, r, cfg.Version, refusal{code: result.Quarantined, reason: fmt.Sprintf("upstreams crashed while running this request, fingerprint %d", fingerprint)})
	}
	if denied := vm.admit(); denied.code != 0 {
		return vm.refuse(req, r, cfg.Version, denied)
	}
	defer vm.state.With(func(st *vmState) { st.inFlight-- })
	if parts := vm.partition(req, r); len(parts) > 0 {
		return newSplitQuery(vm, req, cfg, r, fingerprint, parts).run(ctx)
	}
	q := newQuery(vm, req, cfg, r, fingerprint)
	if denied := q.plan(); denied.code != 0 {
		return vm.refuse(req, r, cfg.Version, denied)
	}
	return q.run(ctx)
}

// fingerprintOf returns a hash of what the request asks for.
func fingerprintOf(req *Request) uint64 {
	return quarantine.Fingerprint(req.Method, nil, []string{req.Host, req.Target, string(req.Body)}, 0)
}

// config returns the configuration that serves the request: the current one, or for a relayed request the one of the VM
// that it came from.
func (vm *VM) config(req *Request) (*route.Config, refusal) {
	if !req.Relayed {
		cfg := vm.routes.Current()
		if cfg == nil {
			return nil, refusal{code: result.NotReady, reason: "no configuration yet"}
		}
		return cfg, refusal{}
	}
	cfg := vm.routes.Version(req.ConfigVersion)
	if cfg == nil {
		return nil, refusal{code: result.NotReady, reason: "the relaying VM has another configuration"}
	}
	return cfg, refusal{}
}

// admit counts a request as in flight, unless the VM is stopping or overloaded.
func (vm *VM) admit() (denied refusal) {
	vm.state.With(func(st *vmState) {
		switch {
		case st.refusing:
			denied = refusal{code: result.Stopping, reason: "the VM is stopping"}
		case st.inFlight >= vm.settings.MaxInFlight:
			denied = refusal{code: result.Overloaded, reason: "too many requests in flight"}
		default:
			st.inFlight++
		}
	})
	return denied
}

// refusal is the reason why a request is not run. A zero code means that it may run.
type refusal struct {
	code       result.Code
	reason     string
	retryAfter time.Duration // 0 for the default of the code
}

// refuse records and returns the answer to a request that is not run.
func (vm *VM) refuse(req *Request, r *route.Route, version uint64, denied refusal) Answer {
	name := ""
	if r != nil {
		name = r.Name
	}
	a := Answer{Code: denied.code, RetryAfter: max(retryAfter(denied.code), denied.retryAfter)}
	vm.stats.recordRequest(name, a.Code, time.Since(req.ReceivedAt))
	fields := []event.Field{
		event.F(event.RequestID, req.ID), event.F(event.Route, name),
		event.F(event.Code, a.Code), event.F(event.Reason, denied.reason), event.F(event.Version, version),
		event.F(event.InFlight, vm.InFlight()), event.F(event.Delay, a.RetryAfter), event.F(event.Elapsed, time.Since(req.ReceivedAt)),
	}
	if req.Team != "" {
		fields = append(fields, event.F(event.Team, req.Team))
	}
	vm.events.Record(event.RequestRefused, fields...)
	return a
}

// retryAfter returns the time after which a client should retry a refused request. It is jittered, so that
// clients do not all retry at the same time.
func retryAfter(code result.Code) time.Duration {
	switch code {
	case result.ConfigUnconfirmed:
		return unconfirmedRetryAfter
	case result.UnknownRoute, result.Quarantined, result.KeyRejected, result.QuotaExceeded:
		return 0
	case result.NotReady, result.Stopping:
		return minRetryAfter
	case result.Unreachable: // time for upstreams to recover or the load balancer to move the client
		return unreachableRetryAfter + time.Duration(rand.Int64N(int64(unreachableRetryAfter)))
	default:
		return 2*minRetryAfter + time.Duration(rand.Int64N(int64(3*minRetryAfter)))
	}
}
