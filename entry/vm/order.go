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

// Limits of an order.
const (
	maxOrderAttempts = 4 // replicas tried in turn while each reports "not run"

	// orderMargin shortens the deadline of each attempt, so that a refusal by the owner VM arrives before
	// the order's own deadline.
	orderMargin = 20 * time.Millisecond
)

// orderReply is the issuer's reply to a forwarded order.
type orderReply struct {
	outcome entry.Outcome
	refusal *result.Error
}

// IssuePermit issues a single-use permit for an order.
func (vm *VM) IssuePermit(context.Context) (permit.Permit, error) {
	now := vm.now()
	if _, err := vm.configForRequest(now); err != nil {
		return permit.Permit{}, vm.countRefusal(err)
	}
	if vm.shutdown.Phase() != shutdown.Serving {
		return permit.Permit{}, vm.countRefusal(result.New(result.Stopping, "the VM issues no more permits"))
	}
	p, err := vm.permits.Issue(now, rand.Text())
	if err != nil {
		return permit.Permit{}, vm.countRefusal(err)
	}
	return p, nil
}

// ExecuteOrder runs an order if this VM issued its permit, and forwards it to the issuer otherwise.
//
// Only the issuer may refuse an order as "not run": no other VM knows whether an earlier request with
// the same permit ran or is still in flight to the issuer.
func (vm *VM) ExecuteOrder(ctx context.Context, o entry.Order) (entry.Outcome, error) {
	now := vm.now()
	maxDeadline := catalog.MaxDeadline
	if route, ok := vm.orderRoute(o.Route); ok {
		maxDeadline = route.Deadline
	}
	deadline := budget.CapDeadline(now, o.Deadline, maxDeadline)
	ctx, span := vm.startOrderSpan(ctx, o)
	defer span.End()
	vm.notifyStep(StepAccepted, o.ID)
	defer vm.notifyStep(StepAnswered, o.ID)
	var out entry.Outcome
	var err error
	if o.Permit.Issuer == vm.settings.Address {
		out, err = vm.runOrder(ctx, o, deadline.Add(-budget.ReplyMargin))
	} else {
		out, err = vm.forwardOrder(ctx, o, deadline)
	}
	if err != nil {
		return out, vm.countRefusal(err)
	}
	vm.instrumentation.Counters.RecordAnswer(out.Code)
	return out, nil
}

// forwardOrder sends an order to the issuer of its permit and waits for the outcome.
func (vm *VM) forwardOrder(ctx context.Context, o entry.Order, deadline time.Time) (entry.Outcome, error) {
	id := vm.nextID.Add(1)
	reply := vm.orderReplies.register(id)
	defer vm.orderReplies.unregister(id)
	m := &wire.OrderForward{ID: id, RequestID: o.ID, Deadline: deadline.Add(-budget.ReplyMargin), Order: toWireOrder(o), TraceParent: traceParentOf(ctx)}
	if !vm.transports.Peers.Send(o.Permit.Issuer, &wire.Envelope{Kind: codec.KindOrderForward, OrderForward: m}) {
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

// receiveOrder runs a forwarded order. It can block, so it runs in a separate worker pool.
func (vm *VM) receiveOrder(from netip.AddrPort, m *wire.OrderForward) {
	ctx, cancel := context.WithDeadline(contextWithTraceParent(vm.ctx, m.TraceParent), m.Deadline)
	defer cancel()
	reply := &wire.OrderResult{ID: m.ID}
	order := fromWireOrder(m.RequestID, m.Order)
	outcome, err := vm.runOrder(ctx, order, m.Deadline)
	if err != nil {
		reply.Refusal = codec.ToWireRefusal(m.RequestID, err)
	} else {
		reply.Answer = codec.ToWireOrderAnswer(m.RequestID, outcome.Code, outcome.Receipt)
	}
	vm.sendWithRetry(from, &wire.Envelope{Kind: codec.KindOrderResult, OrderResult: reply}, maxResends)
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
	vm.orderReplies.deliver(m.ID, r)
}

// orderRoute returns the non-idempotent route with the given name, if the current configuration has one.
func (vm *VM) orderRoute(name string) (*catalog.Route, bool) {
	cfg := vm.catalog.Current()
	if cfg == nil {
		return nil, false
	}
	route, ok := cfg.Route(name)
	return route, ok && !route.Idempotent
}

// runOrder consumes the permit and runs the order, or returns the outcome of the first run. It checks
// the permit before anything else, because the current configuration may refuse an order that an
// earlier request has already run.
func (vm *VM) runOrder(ctx context.Context, o entry.Order, deadline time.Time) (entry.Outcome, error) {
	fingerprint := quarantine.Fingerprint(o.Operation, []string{o.Route}, []string{o.Key, strconv.Itoa(o.Quantity)}, 0)
	for {
		decision := vm.permits.Consume(vm.now(), o.Permit, fingerprint)
		switch {
		case decision.Run:
			out := vm.admitAndRunOrder(ctx, o, fingerprint, deadline)
			vm.permits.Finish(vm.now(), o.Permit, permit.Outcome{Code: out.Code, Receipt: out.Receipt})
			return outcomeOrRefusal(out)
		case decision.Outcome != nil:
			code := decision.Outcome.Code
			if code == result.Executed {
				code = result.Replayed
			}
			return outcomeOrRefusal(entry.Outcome{Code: code, Receipt: decision.Outcome.Receipt})
		case decision.Refusal != 0:
			return entry.Outcome{}, result.New(decision.Refusal, "the permit cannot be consumed")
		}
		if !waitForDone(ctx, decision.Wait, deadline) {
			return entry.Outcome{}, result.New(result.OutcomeUnknown, "the first run of the order has not ended in time")
		}
	}
}

// outcomeOrRefusal returns the outcome, or an error if the order was not run or its result is unknown.
func outcomeOrRefusal(o entry.Outcome) (entry.Outcome, error) {
	if o.Code.HasAnswer() {
		return o, nil
	}
	return entry.Outcome{}, result.New(o.Code, "the order has not been confirmed")
}

// waitForDone reports whether done was closed before the deadline and the end of ctx.
func waitForDone(ctx context.Context, done <-chan struct{}, deadline time.Time) bool {
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

// admitAndRunOrder admits and runs an order whose permit was just consumed. A refusal is stored as the
// permit's outcome, so that a delayed duplicate cannot run after the caller was told "not run".
func (vm *VM) admitAndRunOrder(ctx context.Context, o entry.Order, fingerprint uint64, deadline time.Time) entry.Outcome {
	route, ok := vm.orderRoute(o.Route)
	if !ok {
		return entry.Outcome{Code: result.UnknownRoute}
	}
	if vm.readiness.drainedFor(vm.now()) > drainGrace {
		return entry.Outcome{Code: result.ZoneOut}
	}
	if !vm.admit(vm.now(), route.Class) {
		return entry.Outcome{Code: result.Overloaded}
	}
	defer vm.admission.Done(route.Class)
	return vm.runOnReplicas(ctx, vm.catalog.Current(), route, o, fingerprint, deadline)
}

// runOnReplicas asks the coordinator whether the order may run, and runs it on the replicas of its
// shard.
func (vm *VM) runOnReplicas(
	ctx context.Context, cfg *catalog.Config, route *catalog.Route, o entry.Order, fingerprint uint64, deadline time.Time,
) entry.Outcome {
	canary, err := vm.checkQuarantine(ctx, fingerprint, deadline)
	if err != nil {
		return entry.Outcome{Code: codeOf(err)}
	}
	grants := canaryGrants{vm: vm, fingerprint: fingerprint}
	if canary {
		grants.add()
	}
	defer grants.returnUnused()
	vm.notifyStep(StepPermitted, o.ID)
	plan, ok := planOrder(cfg, route, o.Key)
	if !ok || len(plan.Replicas) == 0 {
		return entry.Outcome{Code: plan.NoReplicaCode}
	}
	vm.notifyStep(StepSnapshotPinned, o.ID)
	last := vm.tryReplicas(slices.Clone(plan.Replicas), orderJob{
		order:        o,
		class:        route.Class,
		fingerprint:  fingerprint,
		deadline:     deadline.Add(-orderMargin),
		shard:        plan.Shard.Name,
		group:        plan.Shard.Group,
		snapshot:     cfg.CurrentSnapshot,
		subRequestID: vm.nextID.Add(1),
		traceParent:  traceParentOf(ctx),
	}, deadline)
	switch last.Code {
	case result.Executed:
		grants.reportSuccess()
	case result.ConnectionLost:
		grants.dropLost()
	}
	return last
}

// tryReplicas tries the replicas in turn and stops at the first one that may have run the order.
func (vm *VM) tryReplicas(replicas []string, job orderJob, deadline time.Time) entry.Outcome {
	r := newRand()
	last := entry.Outcome{Code: result.DeadlineExpired}
	for attempt := 1; attempt <= maxOrderAttempts && len(replicas) > 0 && vm.now().Before(job.deadline); attempt++ {
		server := vm.chooser.Choose(vm.now(), r, replicas)
		replicas = slices.DeleteFunc(replicas, func(s string) bool { return s == server })
		last = vm.attemptOrder(server, attempt, job, deadline)
		if last.Code.Effect() != result.NotRun {
			break
		}
	}
	return last
}

// planOrder returns the shard whose key range contains key, or the first shard of the route.
func planOrder(cfg *catalog.Config, route *catalog.Route, key string) (plan gather.ShardPlan, ok bool) {
	shards, ok := cfg.Shards(cfg.CurrentSnapshot, route.Groups)
	if !ok || len(shards) == 0 {
		return gather.ShardPlan{NoReplicaCode: result.UnknownShard}, false
	}
	for _, s := range shards {
		if key >= s.From && (s.To == "" || key < s.To) {
			return newShardPlan(cfg, s), true
		}
	}
	return newShardPlan(cfg, shards[0]), true
}

// orderJob holds the parameters shared by all attempts of an order.
type orderJob struct {
	order        entry.Order
	class        catalog.Class
	fingerprint  uint64
	deadline     time.Time
	shard        string
	group        string
	snapshot     uint64
	subRequestID uint64
	traceParent  string
}

// attemptOrder makes one attempt at the server and waits for its outcome, which is OutcomeUnknown if
// none arrives before the deadline.
func (vm *VM) attemptOrder(server string, attempt int, job orderJob, deadline time.Time) entry.Outcome {
	results := make(chan attemptResult, 1)
	sentAt := vm.now()
	vm.instrumentation.Counters.RecordSubRequests(1)
	vm.dispatch([]subRequest{{
		upstream: server,
		job: upstream.Job[payload]{
			Key:   upstream.AttemptKey{Origin: vm.settings.Address, ID: job.subRequestID, Attempt: attempt},
			Class: job.class, Deadline: job.deadline, Fingerprint: job.fingerprint,
			Payload: payload{
				requestID: upstreamRequestID(job.order.ID, job.shard), shard: job.shard, snapshot: job.snapshot,
				operation: job.order.Operation, key: job.order.Key, quantity: job.order.Quantity, traceParent: job.traceParent,
			},
		},
		deliver: func(res attemptResult) { results <- res },
	}})
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	res := attemptResult{code: result.OutcomeUnknown}
	select {
	case res = <-results:
		vm.notifyStep(StepMerging, job.order.ID)
	case <-t.C:
	case <-vm.ctx.Done():
	}
	vm.pendingAttempts.remove(pendingKey{job.subRequestID, attempt})
	now := vm.now()
	vm.chooser.Observe(now, job.group, server, newObservation(now.Sub(sentAt), res))
	return entry.Outcome{Code: res.code, Receipt: res.receipt}
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
