package vm

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/entry"
	"pistachioshore.dev/gather"
	"pistachioshore.dev/result"
	"pistachioshore.dev/transport"
)

// hopMargin is kept from the deadline for the way back to the caller.
const hopMargin = 2 * time.Millisecond

// activeQuery is one query under way with what its sub-requests need.
type activeQuery struct {
	vm     *VM
	query  entry.Query
	cfg    *catalog.Config
	plan   gather.Plan
	state  *gather.Query
	once   sync.Once
	done   chan struct{}
	cancel context.CancelFunc
	ctx    context.Context
}

// Query answers a look-up from one snapshot.
func (vm *VM) Query(ctx context.Context, q entry.Query) (gather.Answer, error) {
	now := time.Now()
	cfg := vm.catalog.InForce()
	if cfg == nil {
		return gather.Answer{}, result.New(result.NotReady, "no configuration is in force yet")
	}
	plan, err := makePlan(cfg, q, now)
	if err != nil {
		return gather.Answer{}, err
	}
	a := &activeQuery{vm: vm, query: q, cfg: cfg, plan: plan, done: make(chan struct{})}
	a.state = gather.New(plan, firstReplica{}, noBudget{}, newRand())
	a.ctx, a.cancel = context.WithDeadline(ctx, plan.Deadline)
	defer a.cancel()
	a.follow(a.state.Start(now))
	select {
	case <-a.done:
	case <-ctx.Done():
		return gather.Answer{}, result.New(result.Late, "the caller has left")
	}
	return a.state.Answer(), nil
}

func makePlan(cfg *catalog.Config, q entry.Query, now time.Time) (gather.Plan, error) {
	route, ok := cfg.Route(q.Route)
	if !ok || !route.Idempotent {
		return gather.Plan{}, result.Field(result.UnknownRoute, "route", q.Route, "an idempotent route of the configuration")
	}
	groups := route.Groups
	if len(q.Groups) > 0 {
		groups = q.Groups
	}
	for _, g := range groups {
		if !slices.Contains(route.Groups, g) {
			return gather.Plan{}, result.Field(result.UnknownGroup, "groups", g, "the groups of the route")
		}
	}
	shards, ok := cfg.Shards(cfg.Current, groups)
	if !ok {
		return gather.Plan{}, result.New(result.Internal, "the current snapshot has no shard map")
	}
	deadline := route.Deadline
	if q.Deadline > 0 {
		deadline = min(deadline, q.Deadline)
	}
	limit := cfg.Limits.AnswerRecords
	if q.Limit > 0 {
		limit = min(limit, q.Limit)
	}
	plan := gather.Plan{
		Snapshot: cfg.Current, Revision: cfg.Revision, Limit: limit,
		Deadline: now.Add(deadline - hopMargin), MinimumCoverage: route.MinimumCoverage, StragglerWait: route.StragglerWait,
	}
	for _, s := range shards {
		plan.Shards = append(plan.Shards, shardPlan(cfg, s))
	}
	return plan, nil
}

// shardPlan lists the replicas of a shard that may receive new work.
func shardPlan(cfg *catalog.Config, s catalog.Shard) gather.ShardPlan {
	p := gather.ShardPlan{Shard: s, Refused: result.Unreachable}
	svc, ok := cfg.Service(s.Service)
	if !ok {
		return p
	}
	for _, server := range svc.Servers {
		switch {
		case cfg.ZoneOut(server.Zone):
			p.Refused = result.ZoneOut
		case server.Leaving:
			p.Refused = result.UpstreamLeaving
		default:
			p.Replicas = append(p.Replicas, server.Name)
		}
	}
	return p
}

// follow does what a step of the query asks for.
func (a *activeQuery) follow(st gather.Step) {
	for _, at := range st.Send {
		a.vm.pool.Submit(func() { a.run(at) })
	}
	if !st.WakeAt.IsZero() {
		a.vm.timers.At(st.WakeAt, func() { a.follow(a.state.Wake(time.Now())) })
	}
	if st.Done {
		a.once.Do(func() { close(a.done) })
	}
}

func (a *activeQuery) run(at gather.Attempt) {
	reply := a.call(at)
	a.follow(a.state.Part(time.Now(), gather.Part{
		Shard: at.Shard, Number: at.Number, Code: reply.Code,
		Snapshot: reply.Snapshot, Records: reply.Records, Matched: reply.Matched,
	}))
}

func (a *activeQuery) call(at gather.Attempt) transport.Reply {
	server, ok := a.cfg.Server(at.Server)
	if !ok {
		return transport.Reply{Code: result.Unreachable}
	}
	conn, err := a.vm.upstreams.Connect(a.ctx, server.Address)
	if err != nil {
		return transport.Reply{Code: result.Unreachable}
	}
	defer func() { _ = conn.Close() }()
	return conn.Do(a.ctx, transport.Call{
		RequestID: a.query.ID + "/" + a.plan.Shards[at.Shard].Shard.Name, Attempt: at.Number, Deadline: a.plan.Deadline,
		Snapshot: a.plan.Snapshot, Shard: a.plan.Shards[at.Shard].Shard.Name, Filter: a.query.Filter, Limit: a.plan.Limit,
	})
}

// firstReplica always takes the first candidate and never hedges.
type firstReplica struct{}

func (firstReplica) Choose(_ time.Time, _ *rand.Rand, candidates []string) string {
	return candidates[0]
}
func (firstReplica) HedgeDelay(string) time.Duration { return time.Hour }
func (firstReplica) Typical(string) time.Duration    { return time.Millisecond }
func (firstReplica) Queued(string) bool              { return false }

// noBudget grants nothing beyond the first attempts.
type noBudget struct{}

func (noBudget) Earn(int)         {}
func (noBudget) AllowHedge() bool { return false }
func (noBudget) AllowRetry() bool { return true }
