package vm

import (
	"context"
	"slices"
	"time"

	"pistachioshore.dev/budget"
	"pistachioshore.dev/catalog"
	"pistachioshore.dev/codec"
	"pistachioshore.dev/entry"
	"pistachioshore.dev/gather"
	"pistachioshore.dev/quarantine"
	"pistachioshore.dev/result"
)

// Query answers a look-up from a single snapshot. If upstreams no longer have that snapshot, it restarts at most
// once, on a newer one.
func (vm *VM) Query(ctx context.Context, q entry.Query) (entry.Answer, error) {
	now := vm.now()
	cfg, err := vm.configForRequest(now)
	if err != nil {
		return entry.Answer{}, vm.countRefusal(err)
	}
	resolved, err := resolveQuery(cfg, q)
	if err != nil {
		return entry.Answer{}, vm.countRefusal(err)
	}
	if !vm.admit(now, resolved.class) {
		return entry.Answer{}, vm.countRefusal(result.New(result.Overloaded, "more requests of this class cannot be served in time"))
	}
	defer vm.admission.Done(resolved.class)
	vm.notifyStep(StepAccepted, q.ID)
	defer vm.notifyStep(StepAnswered, q.ID)
	ctx, span := vm.startQuerySpan(ctx, q)
	defer span.End()
	deadline := budget.CapDeadline(now, q.Deadline, resolved.route.Deadline).Add(-budget.ReplyMargin)
	a, restart, err := vm.runQuery(ctx, q, cfg, resolved, deadline)
	if newer := vm.catalog.Current(); err == nil && restart && newer.CurrentSnapshot != cfg.CurrentSnapshot {
		a = vm.restartQuery(ctx, q, newer, deadline, a)
	}
	return a, vm.countAnswer(a, err)
}

// restartQuery runs a query again on a newer snapshot. It returns the first answer if the second run
// fails or covers fewer shards.
func (vm *VM) restartQuery(ctx context.Context, q entry.Query, cfg *catalog.Config, deadline time.Time, first entry.Answer) entry.Answer {
	resolved, err := resolveQuery(cfg, q)
	if err != nil {
		return first
	}
	second, _, err := vm.runQuery(ctx, q, cfg, resolved, deadline)
	if err != nil || second.Coverage() < first.Coverage() {
		return first
	}
	return second
}

// admit reports whether a request of the class is admitted. If so, the caller must call admission.Done.
func (vm *VM) admit(now time.Time, class catalog.Class) bool {
	return vm.shedder.Admit(now, class, newRand()) && vm.admission.Admit(class)
}

// configForRequest returns the current configuration, or an error if the VM does not accept new
// requests.
func (vm *VM) configForRequest(now time.Time) (*catalog.Config, error) {
	cfg := vm.catalog.Current()
	switch {
	case cfg == nil:
		return nil, result.New(result.NotReady, "no configuration is in force yet")
	case !vm.acceptsRequests():
		return nil, result.New(result.Stopping, "the VM is stopping")
	case vm.readiness.drainedFor(now) > drainGrace:
		return nil, result.New(result.ZoneOut, "operators have taken this VM out of service")
	}
	return cfg, nil
}

// resolvedQuery holds the parameters of a query after applying the defaults of its route.
type resolvedQuery struct {
	route  *catalog.Route
	class  catalog.Class
	groups []string
	limit  int
}

func resolveQuery(cfg *catalog.Config, q entry.Query) (resolvedQuery, error) {
	route, ok := cfg.Route(q.Route)
	if !ok || !route.Idempotent {
		return resolvedQuery{}, result.NewFieldError(result.UnknownRoute, "route", q.Route, "an idempotent route of the configuration")
	}
	r := resolvedQuery{route: route, class: route.Class, groups: route.Groups, limit: cfg.Limits.AnswerRecords}
	if q.Class != "" {
		class, ok := catalog.ParseClass(q.Class)
		if !ok || class < route.Class {
			return r, result.NewFieldError(result.OutOfRange, "class", q.Class, "the route's class or a less urgent one")
		}
		r.class = class
	}
	if len(q.Groups) > 0 {
		r.groups = q.Groups
	}
	for _, g := range r.groups {
		if !slices.Contains(route.Groups, g) {
			return r, result.NewFieldError(result.UnknownGroup, "groups", g, "the groups of the route")
		}
	}
	if q.Limit < 0 {
		return r, result.NewFieldError(result.OutOfRange, "limit", "negative", "0 or more")
	}
	if q.Limit > 0 {
		r.limit = min(r.limit, q.Limit)
	}
	return r, nil
}

// runQuery runs a query on the current snapshot of cfg. The second result reports whether a restart on a
// newer snapshot is worthwhile.
func (vm *VM) runQuery(ctx context.Context, q entry.Query, cfg *catalog.Config, resolved resolvedQuery, deadline time.Time) (entry.Answer, bool, error) {
	shards, ok := cfg.Shards(cfg.CurrentSnapshot, resolved.groups)
	if !ok {
		return entry.Answer{}, false, result.New(result.Internal, "the current snapshot has no shard map")
	}
	a := &activeQuery{vm: vm, query: q, cfg: cfg, resolved: resolved, done: make(chan struct{}), traceParent: traceParentOf(ctx)}
	a.fingerprint = queryFingerprint(q, resolved)
	a.grants = canaryGrants{vm: vm, fingerprint: a.fingerprint}
	canary, err := vm.checkQuarantine(ctx, a.fingerprint, deadline)
	if err != nil {
		return entry.Answer{}, false, err
	}
	if canary {
		a.grants.add()
	}
	defer a.grants.returnUnused()
	vm.notifyStep(StepPermitted, q.ID)
	a.plan = gather.Plan{
		Snapshot: cfg.CurrentSnapshot, Revision: cfg.Revision, Deadline: deadline,
		MinimumCoverage: resolved.route.MinimumCoverage, StragglerWait: resolved.route.StragglerWait, Canary: canary,
	}
	for _, s := range shards {
		a.plan.Shards = append(a.plan.Shards, newShardPlan(cfg, s))
		a.subRequestIDs = append(a.subRequestIDs, vm.nextID.Add(1))
	}
	vm.notifyStep(StepSnapshotPinned, q.ID)
	a.state = gather.New[entry.Matches](a.plan, vm.chooser, vm.routeBudgets.forRoute(resolved.route), newRand())
	return a.run(ctx)
}

func queryFingerprint(q entry.Query, resolved resolvedQuery) uint64 {
	f := q.Filter
	return quarantine.Fingerprint("search", resolved.groups, []string{string(f.Kind), f.KeyFrom, f.KeyTo, f.Contains}, resolved.limit)
}

// newShardPlan returns the replicas of a shard that may receive new work, or the reason why there are
// none.
func newShardPlan(cfg *catalog.Config, s catalog.Shard) gather.ShardPlan {
	p := gather.ShardPlan{Shard: s, NoReplicaCode: result.Unreachable}
	svc, ok := cfg.Service(s.Service)
	if !ok {
		return p
	}
	for _, server := range svc.Servers {
		switch {
		case cfg.ZoneDrained(server.Zone):
			p.NoReplicaCode = result.ZoneOut
		case server.Leaving:
			p.NoReplicaCode = result.UpstreamLeaving
		default:
			p.Replicas = append(p.Replicas, server.Name)
		}
	}
	return p
}

// countRefusal counts err as a refusal and returns it.
func (vm *VM) countRefusal(err error) error {
	vm.instrumentation.Counters.RecordRefusal(codeOf(err))
	return err
}

// countAnswer counts the result of a query and returns err.
func (vm *VM) countAnswer(a entry.Answer, err error) error {
	if err != nil {
		return vm.countRefusal(err)
	}
	vm.instrumentation.Counters.RecordAnswer(a.Code)
	return nil
}

func codeOf(err error) result.Code {
	return codec.CodedError(err).Code
}
