package vm

import (
	"context"
	"crypto/rand"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"pistachioshore.dev/budget"
	"pistachioshore.dev/catalog"
	"pistachioshore.dev/codec"
	"pistachioshore.dev/entry"
	"pistachioshore.dev/gather"
	"pistachioshore.dev/permit"
	"pistachioshore.dev/quarantine"
	"pistachioshore.dev/result"
	"pistachioshore.dev/shutdown"
	"pistachioshore.dev/upstream"
	"pistachioshore.dev/wire"
)

// Bounds of one order.
const (
	maxOrderAttempts = 4                     // upstreams tried in turn while each says "not run"
	orderMargin      = 20 * time.Millisecond // lets a refusal of the owner VM arrive before the deadline
)

// orderReply is the issuer's answer to a forwarded order.
type orderReply struct {
	outcome entry.Outcome
	refusal *result.Error
}

// IssuePermit issues a permit for one order.
func (vm *VM) IssuePermit(context.Context) (permit.Permit, error) {
	now := vm.now()
	if _, err := vm.accepting(now); err != nil {
		return permit.Permit{}, vm.refused(err)
	}
	if vm.stopping.Phase() != shutdown.Serving {
		return permit.Permit{}, vm.refused(result.New(result.Stopping, "the VM issues no more permits"))
	}
	p, err := vm.permits.Issue(now, rand.Text())
	if err != nil {
		return permit.Permit{}, vm.refused(err)
	}
	return p, nil
}

// ExecuteOrder runs an order if this VM has issued its permit, and passes it to the issuer otherwise.
//
// Only the issuer may refuse an order as "not run": no other VM knows whether an earlier try with
// the same permit ran, or is still on its way to the issuer.
func (vm *VM) ExecuteOrder(ctx context.Context, o entry.Order) (entry.Outcome, error) {
	now := vm.now()
	longest := catalog.MaxDeadline
	if route, ok := vm.orderRoute(o.Route); ok {
		longest = route.Deadline
	}
	deadline := budget.CapDeadline(now, o.Deadline, longest)
	ctx, span := vm.startOrderSpan(ctx, o)
	defer span.End()
	vm.reached(StepAccepted, o.ID)
	defer vm.reached(StepAnswered, o.ID)
	var out entry.Outcome
	var err error
	if o.Permit.Issuer == vm.settings.Address {
		out, err = vm.runOrder(ctx, o, deadline.Add(-budget.ReplyMargin))
	} else {
		out, err = vm.forwardOrder(ctx, o, deadline)
	}
	if err != nil {
		return out, vm.refused(err)
	}
	vm.observe.Counters.Answered(out.Code)
	return out, nil
}

// forwardOrder passes an order to the issuer of its permit and waits for the outcome.
func (vm *VM) forwardOrder(ctx context.Context, o entry.Order, deadline time.Time) (entry.Outcome, error) {
	id := vm.nextID.Add(1)
	reply := vm.forwarded.expect(id)
	defer vm.forwarded.forget(id)
	m := &wire.OrderForward{ID: id, RequestID: o.ID, Deadline: deadline.Add(-budget.ReplyMargin), Order: toWireOrder(o), TraceParent: traceOf(ctx)}
	if !vm.to.Peers.Send(o.Permit.Issuer, &wire.Envelope{Kind: codec.KindOrderForward, OrderForward: m}) {
		return entry.Outcome{}, result.New(result.IssuerGone, "the issuer of the permit cannot be reached")
	}
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case r := <-reply:
		if r.refusal != nil {
			return entry.Outcome{}, r.refusal
		}
		return r.outcome, nil
	case <-t.C:
		return entry.Outcome{}, result.New(result.OutcomeUnknown, "the issuer of the permit has not answered in time")
	case <-ctx.Done():
		return entry.Outcome{}, result.New(result.OutcomeUnknown, "the caller has left")
	}
}

// receiveOrder runs a forwarded order; it may wait, so it has workers of its own.
func (vm *VM) receiveOrder(from netip.AddrPort, m *wire.OrderForward) {
	ctx, cancel := context.WithDeadline(contextWithTrace(vm.ctx, m.TraceParent), m.Deadline)
	defer cancel()
	out := &wire.OrderResult{ID: m.ID}
	o := fromWireOrder(m.RequestID, m.Order)
	outcome, err := vm.runOrder(ctx, o, m.Deadline)
	if err != nil {
		out.Refusal = codec.ToWireRefusal(m.RequestID, err)
	} else {
		out.Answer = codec.ToWireOutcome(m.RequestID, outcome.Code, outcome.Receipt)
	}
	vm.sendAgain(from, &wire.Envelope{Kind: codec.KindOrderResult, OrderResult: out}, resends)
}

func (vm *VM) receiveOrderResult(m *wire.OrderResult) {
	r := orderReply{}
	switch {
	case m.Refusal != nil:
		r.refusal = codec.FromWireRefusal(m.Refusal)
	case m.Answer != nil:
		r.outcome = entry.Outcome{Code: result.Code(m.Answer.Code), Receipt: m.Answer.Receipt}
	default:
		r.refusal = result.New(result.OutcomeUnknown, "the issuer's answer is empty")
	}
	vm.forwarded.deliver(m.ID, r)
}

// orderRoute returns the route of an order if the configuration in force has it.
func (vm *VM) orderRoute(name string) (*catalog.Route, bool) {
	cfg := vm.catalog.Current()
	if cfg == nil {
		return nil, false
	}
	route, ok := cfg.Route(name)
	return route, ok && !route.Idempotent
}

// runOrder consumes the permit and runs the order, or returns the outcome of its first run. The
// permit comes before every other check, because a later configuration may no longer allow what an
// earlier try has run.
func (vm *VM) runOrder(ctx context.Context, o entry.Order, deadline time.Time) (entry.Outcome, error) {
	fingerprint := quarantine.Fingerprint(o.Operation, []string{o.Route}, []string{o.Key, strconv.Itoa(o.Quantity)}, 0)
	for {
		d := vm.permits.Consume(vm.now(), o.Permit, fingerprint)
		switch {
		case d.Run:
			out := vm.runAdmitted(ctx, o, fingerprint, deadline)
			vm.permits.Finish(vm.now(), o.Permit, permit.Outcome{Code: out.Code, Receipt: out.Receipt})
			return settled(out)
		case d.Outcome != nil:
			code := d.Outcome.Code
			if code == result.Executed {
				code = result.Replayed
			}
			return settled(entry.Outcome{Code: code, Receipt: d.Outcome.Receipt})
		case d.Refusal != 0:
			return entry.Outcome{}, result.New(d.Refusal, "the permit cannot be consumed")
		}
		if !waitFor(ctx, d.Wait, deadline) {
			return entry.Outcome{}, result.New(result.OutcomeUnknown, "the first run of the order has not ended in time")
		}
	}
}

// settled turns an outcome without a run or without a known end into a refusal.
func settled(o entry.Outcome) (entry.Outcome, error) {
	if o.Code.HasAnswer() {
		return o, nil
	}
	return entry.Outcome{}, result.New(o.Code, "the order has not been confirmed")
}

func waitFor(ctx context.Context, done <-chan struct{}, deadline time.Time) bool {
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-done:
		return true
	case <-t.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// runAdmitted runs an order whose permit was just consumed. A refusal here is final for the permit,
// so that a delayed duplicate of the order cannot run after its caller was told "not run".
func (vm *VM) runAdmitted(ctx context.Context, o entry.Order, fingerprint uint64, deadline time.Time) entry.Outcome {
	route, ok := vm.orderRoute(o.Route)
	if !ok {
		return entry.Outcome{Code: result.UnknownRoute}
	}
	if vm.contacts.drainedFor(vm.now()) > drainGrace {
		return entry.Outcome{Code: result.ZoneOut}
	}
	if !vm.admit(vm.now(), route.Class) {
		return entry.Outcome{Code: result.Overloaded}
	}
	defer vm.admission.Done(route.Class)
	return vm.runOnce(ctx, vm.catalog.Current(), route, o, fingerprint, deadline)
}

// runOnce tries replicas in turn for as long as each says that it has not run the order.
func (vm *VM) runOnce(
	ctx context.Context, cfg *catalog.Config, route *catalog.Route, o entry.Order, fingerprint uint64, deadline time.Time,
) entry.Outcome {
	canary, err := vm.mayRun(ctx, fingerprint, deadline)
	if err != nil {
		return entry.Outcome{Code: codeOf(err)}
	}
	c := canaries{vm: vm, fingerprint: fingerprint}
	if canary {
		c.granted()
	}
	defer c.end()
	vm.reached(StepPermitted, o.ID)
	plan, ok := orderPlan(cfg, route, o.Key)
	if !ok || len(plan.Replicas) == 0 {
		return entry.Outcome{Code: plan.NoReplicaCode}
	}
	vm.reached(StepSnapshotPinned, o.ID)
	last := vm.tryReplicas(slices.Clone(plan.Replicas), orderJob{
		order:       o,
		class:       route.Class,
		fingerprint: fingerprint,
		deadline:    deadline.Add(-orderMargin),
		shard:       plan.Shard.Name,
		group:       plan.Shard.Group,
		snapshot:    cfg.CurrentSnapshot,
		id:          vm.nextID.Add(1),
		trace:       traceOf(ctx),
	}, deadline)
	switch last.Code {
	case result.Executed:
		c.succeeded()
	case result.ConnectionLost:
		c.lost()
	}
	return last
}

// tryReplicas makes one attempt at each replica until one may have run the order.
func (vm *VM) tryReplicas(replicas []string, job orderJob, deadline time.Time) entry.Outcome {
	r := newRand()
	last := entry.Outcome{Code: result.DeadlineExpired}
	for n := 1; n <= maxOrderAttempts && len(replicas) > 0 && vm.now().Before(job.deadline); n++ {
		server := vm.chooser.Choose(vm.now(), r, replicas)
		replicas = slices.DeleteFunc(replicas, func(s string) bool { return s == server })
		last = vm.runOrderAt(server, n, job, deadline)
		if last.Code.Effect() != result.NotRun {
			break
		}
	}
	return last
}

// orderPlan finds the shard whose key range holds the order's key, or the group's first shard.
func orderPlan(cfg *catalog.Config, route *catalog.Route, key string) (plan gather.ShardPlan, ok bool) {
	shards, ok := cfg.Shards(cfg.CurrentSnapshot, route.Groups)
	if !ok || len(shards) == 0 {
		return gather.ShardPlan{NoReplicaCode: result.UnknownShard}, false
	}
	for _, s := range shards {
		if key >= s.From && (s.To == "" || key < s.To) {
			return shardPlan(cfg, s), true
		}
	}
	return shardPlan(cfg, shards[0]), true
}

// orderJob is what each attempt of one order shares.
type orderJob struct {
	order       entry.Order
	class       catalog.Class
	fingerprint uint64
	deadline    time.Time
	shard       string
	group       string
	snapshot    uint64
	id          uint64
	trace       string
}

// runOrderAt makes one attempt and waits for its outcome, which is unknown if none comes in time.
func (vm *VM) runOrderAt(server string, n int, j orderJob, deadline time.Time) entry.Outcome {
	got := make(chan part, 1)
	sent := vm.now()
	vm.observe.Counters.SubRequested(1)
	vm.dispatch([]subRequest{{
		upstream: server,
		job: upstream.Job[work]{
			Key:   upstream.AttemptKey{Origin: vm.settings.Address, ID: j.id, Attempt: n},
			Class: j.class, Deadline: j.deadline, Fingerprint: j.fingerprint,
			Payload: work{
				requestID: subRequestID(j.order.ID, j.shard), shard: j.shard, snapshot: j.snapshot,
				operation: j.order.Operation, key: j.order.Key, quantity: j.order.Quantity, trace: j.trace,
			},
		},
		deliver: func(p part) { got <- p },
	}})
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	p := part{code: result.OutcomeUnknown}
	select {
	case p = <-got:
		vm.reached(StepMerging, j.order.ID)
	case <-t.C:
	case <-vm.ctx.Done():
	}
	vm.attempts.take(attemptKey{j.id, n})
	now := vm.now()
	vm.chooser.Observe(now, j.group, server, observation(now.Sub(sent), p))
	return entry.Outcome{Code: p.code, Receipt: p.receipt}
}

func toWireOrder(o entry.Order) wire.OrderRequest {
	return wire.OrderRequest{
		Route: o.Route, Operation: o.Operation, Key: o.Key, Quantity: o.Quantity, Permit: codec.ToWirePermit(o.Permit),
	}
}

func fromWireOrder(id string, w wire.OrderRequest) entry.Order {
	return entry.Order{
		ID: id, Route: w.Route, Operation: w.Operation, Key: w.Key, Quantity: w.Quantity, Permit: codec.FromWirePermit(w.Permit),
	}
}
