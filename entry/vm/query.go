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

// Query answers a look-up from one snapshot. It starts over at most once, on a newer snapshot.
func (vm *VM) Query(ctx context.Context, q entry.Query) (entry.Answer, error) {
	now := vm.now()
	cfg, err := vm.accepting(now)
	if err != nil {
		return entry.Answer{}, vm.refused(err)
	}
	r, err := resolve(cfg, q)
	if err != nil {
		return entry.Answer{}, vm.refused(err)
	}
	if !vm.admit(now, r.class) {
		return entry.Answer{}, vm.refused(result.New(result.Overloaded, "more requests of this class cannot be served in time"))
	}
	defer vm.admission.Done(r.class)
	vm.reached(StepAccepted, q.ID)
	defer vm.reached(StepAnswered, q.ID)
	ctx, span := vm.startQuerySpan(ctx, q)
	defer span.End()
	deadline := budget.CapDeadline(now, q.Deadline, r.route.Deadline).Add(-budget.ReplyMargin)
	a, restart, err := vm.gather(ctx, q, cfg, r, deadline)
	if newer := vm.catalog.Current(); err == nil && restart && newer.CurrentSnapshot != cfg.CurrentSnapshot {
		a = vm.startOver(ctx, q, newer, deadline, a)
	}
	return a, vm.answered(a, err)
}

// startOver tries a query again on a newer snapshot; the first answer stands if that fails.
func (vm *VM) startOver(ctx context.Context, q entry.Query, cfg *catalog.Config, deadline time.Time, first entry.Answer) entry.Answer {
	r, err := resolve(cfg, q)
	if err != nil {
		return first
	}
	again, _, err := vm.gather(ctx, q, cfg, r, deadline)
	if err != nil || again.Coverage() < first.Coverage() {
		return first
	}
	return again
}

// admit reports whether a request of the class is let in; if so, admission.Done has to be called.
func (vm *VM) admit(now time.Time, class catalog.Class) bool {
	return vm.shedder.Admit(now, class, newRand()) && vm.admission.Admit(class)
}

// accepting returns the configuration in force if the VM takes new requests.
func (vm *VM) accepting(now time.Time) (*catalog.Config, error) {
	cfg := vm.catalog.Current()
	switch {
	case cfg == nil:
		return nil, result.New(result.NotReady, "no configuration is in force yet")
	case !vm.accepts():
		return nil, result.New(result.Stopping, "the VM is stopping")
	case vm.contacts.drainedFor(now) > drainGrace:
		return nil, result.New(result.ZoneOut, "operators have taken this VM out of service")
	}
	return cfg, nil
}

// resolved is a query with everything that its route decides.
type resolved struct {
	route  *catalog.Route
	class  catalog.Class
	groups []string
	limit  int
}

func resolve(cfg *catalog.Config, q entry.Query) (resolved, error) {
	route, ok := cfg.Route(q.Route)
	if !ok || !route.Idempotent {
		return resolved{}, result.NewFieldError(result.UnknownRoute, "route", q.Route, "an idempotent route of the configuration")
	}
	r := resolved{route: route, class: route.Class, groups: route.Groups, limit: cfg.Limits.AnswerRecords}
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

// gather runs a query on the snapshot that cfg pins; restart says that a newer one is worth a try.
func (vm *VM) gather(ctx context.Context, q entry.Query, cfg *catalog.Config, r resolved, deadline time.Time) (entry.Answer, bool, error) {
	shards, ok := cfg.Shards(cfg.CurrentSnapshot, r.groups)
	if !ok {
		return entry.Answer{}, false, result.New(result.Internal, "the current snapshot has no shard map")
	}
	a := &activeQuery{vm: vm, query: q, cfg: cfg, route: r, done: make(chan struct{}), trace: traceOf(ctx)}
	a.fingerprint = fingerprintOf(q, r)
	a.canaries = canaries{vm: vm, fingerprint: a.fingerprint}
	canary, err := vm.mayRun(ctx, a.fingerprint, deadline)
	if err != nil {
		return entry.Answer{}, false, err
	}
	if canary {
		a.canaries.granted()
	}
	defer a.canaries.end()
	vm.reached(StepPermitted, q.ID)
	a.plan = gather.Plan{
		Snapshot: cfg.CurrentSnapshot, Revision: cfg.Revision, Deadline: deadline,
		MinimumCoverage: r.route.MinimumCoverage, StragglerWait: r.route.StragglerWait, Canary: canary,
	}
	for _, s := range shards {
		a.plan.Shards = append(a.plan.Shards, shardPlan(cfg, s))
		a.ids = append(a.ids, vm.nextID.Add(1))
	}
	vm.reached(StepSnapshotPinned, q.ID)
	a.state = gather.New[entry.Matches](a.plan, vm.chooser, vm.routes.of(r.route), newRand())
	return a.run(ctx)
}

func fingerprintOf(q entry.Query, r resolved) uint64 {
	f := q.Filter
	return quarantine.Fingerprint("search", r.groups, []string{string(f.Kind), f.KeyFrom, f.KeyTo, f.Contains}, r.limit)
}

// shardPlan lists the replicas of a shard that may receive new work.
func shardPlan(cfg *catalog.Config, s catalog.Shard) gather.ShardPlan {
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

// refused counts a refusal and returns it.
func (vm *VM) refused(err error) error {
	vm.observe.Counters.Refused(codeOf(err))
	return err
}

// answered counts how a query has ended.
func (vm *VM) answered(a entry.Answer, err error) error {
	if err != nil {
		return vm.refused(err)
	}
	vm.observe.Counters.Answered(a.Code)
	return nil
}

func codeOf(err error) result.Code {
	return codec.Fault(err).Code
}
