package forward

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/event"
	"pistachioshore.dev/gather"
	"pistachioshore.dev/replica"
	"pistachioshore.dev/result"
	"pistachioshore.dev/route"
)

// query is one request in flight.
type query struct {
	vm          *VM
	req         *Request
	cfg         *route.Config
	route       *route.Route
	deadline    time.Time
	fingerprint uint64 // of the request's content
	class       requestClass
	state       *gather.Query[*Response]
	shards      []catalog.Shard
	upstreams   []string // that may serve an unsharded request

	doneOnce sync.Once
	done     chan struct{}

	mu            sync.Mutex
	inFlight      map[attemptKey]*sentAttempt
	errorResponse *Response // latest error response of an upstream
	extraAttempts int
	begun         bool                // an attempt may have run
	retryAfter    time.Duration       // estimate of the wait, if an attempt was refused while it waited
	late          map[string][]string // servers and zones of the attempts that were in flight at the end, by service
}

type attemptKey struct {
	shard, number int
}

// sentAttempt is an attempt that was passed to the sender.
type sentAttempt struct {
	pending PendingAttempt // nil until Send has returned
	handle  replica.AttemptHandle
	sentAt  time.Time
	dropped bool         // abandoned or cancelled, possibly before Send has returned
	held    *heldAttempt // not nil while the attempt waits; does not change any more once dropped is set
	// withheldCode is the reason for which the attempt was not sent after it had waited for a connection; 0 if it was.
	withheldCode result.Code
}

func newQuery(vm *VM, req *Request, cfg *route.Config, r *route.Route, fingerprint uint64) *query {
	return &query{
		vm: vm, fingerprint: fingerprint, req: req, cfg: cfg, route: r, class: vm.classify(r.Name, req.Method, len(req.Body)),
		done: make(chan struct{}), inFlight: map[attemptKey]*sentAttempt{},
	}
}

// plan selects the shards and their replicas. It returns a refusal if the request cannot be served.
func (q *query) plan() refusal {
	now := time.Now()
	q.deadline = deadline(q.req, q.route)
	if !q.deadline.After(now) {
		return refusal{code: result.DeadlineExpired, reason: "deadline has passed"}
	}
	p := gather.Plan{
		Snapshot:         q.cfg.Version,
		Revision:         q.cfg.Version,
		Deadline:         q.deadline,
		MinimumCoverage:  q.minCoverage(),
		CoverageRequired: q.req.Shards == nil,
		MaxAttempts:      max(q.route.MaxAttempts-q.req.PriorAttempts, 1),
		NotIdempotent:    !q.route.Idempotent,
		RetriesHeld:      q.req.Confirmed != nil,
	}
	if q.route.Sharded() {
		p.AnswerBy = q.answerBy()
	}
	reachable := 0
	for _, service := range q.services() {
		sp := q.shardPlan(now, service)
		if len(sp.Replicas) > 0 {
			reachable++
		}
		p.Shards = append(p.Shards, sp)
		q.shards = append(q.shards, sp.Shard)
		q.upstreams = sp.Replicas
	}
	if reachable == 0 || (q.req.Shards == nil && reachable < requiredShards(p.MinimumCoverage, len(p.Shards))) {
		if delay := q.restDelay(now); delay > 0 {
			return refusal{code: result.UpstreamShed, reason: "upstreams have asked for no more requests", retryAfter: delay}
		}
		return refusal{code: result.Unreachable, reason: q.vm.unreachableReason(now, reachable, len(p.Shards))}
	}
	q.state = gather.New[*Response](p, q, q.retryBudgets(), rand.New(rand.NewPCG(q.vm.seed(), q.vm.seed())))
	return refusal{}
}

// requiredShards returns the number of n shards that a fraction covers at least.
func requiredShards(coverage float64, n int) int {
	return int(math.Ceil(coverage * float64(n)))
}

// answerBy returns the time at which a query over shards is answered if enough of them have answered. It is zero if the
// route has no target.
func answerBy(req *Request, r *route.Route) time.Time {
	if r.TargetLatency <= 0 {
		return time.Time{}
	}
	return req.ReceivedAt.Add(r.TargetLatency - req.Transit - processingReserve)
}

// answerBy returns the time of the answer. A part has none, because only the VM that merges the parts knows whether
// enough shards have answered.
func (q *query) answerBy() time.Time {
	if q.req.Shards != nil {
		return time.Time{}
	}
	return answerBy(q.req, q.route)
}

// minCoverage returns the fraction of the shards that an answer must cover. A part waits for all of its shards, until the
// VM that merges the parts cancels it.
func (q *query) minCoverage() float64 {
	if q.route.Sharded() && q.req.Shards == nil {
		return q.route.MinCoverage
	}
	return 1
}

// unreachableReason describes why too few services can be reached.
func (vm *VM) unreachableReason(now time.Time, reachable, services int) string {
	reason := fmt.Sprintf("%d of %d services have a usable upstream", reachable, services)
	if zones := vm.replicas.UnreachableZones(now); len(zones) > 0 {
		reason += "; unreachable zones: " + strings.Join(zones, ", ")
	}
	return reason
}

// deadline returns the earlier of the client's deadline and the route's timeout, less the reserve for
// returning the answer.
func deadline(req *Request, r *route.Route) time.Time {
	end := req.Deadline
	if end.IsZero() {
		end = req.ReceivedAt.Add(defaultTimeout)
	}
	if r.Timeout > 0 {
		if t := req.ReceivedAt.Add(r.Timeout - req.Transit); t.Before(end) {
			end = t
		}
	}
	return end.Add(-processingReserve)
}

func (q *query) services() []string {
	if q.req.Shards != nil {
		return shardNames(q.route, q.req.Shards)
	}
	if q.route.Sharded() {
		return q.route.Shards
	}
	return []string{q.vm.splitter.Next(q.route)}
}

// shardNames returns the shards at the given positions of the route. Positions that the route does not have are left out.
func shardNames(r *route.Route, positions []int) []string {
	names := make([]string, 0, len(positions))
	for _, i := range positions {
		if i >= 0 && i < len(r.Shards) {
			names = append(names, r.Shards[i])
		}
	}
	return names
}

func (q *query) shardPlan(now time.Time, service string) gather.ShardPlan {
	return gather.ShardPlan{
		Shard:         catalog.Shard{Name: service, Group: q.route.Name, Service: service},
		Replicas:      q.vm.replicas.Candidates(now, service, q.route.Regions, q.route.Idempotent),
		NoReplicaCode: result.Unreachable,
	}
}

// Choose returns a replica that is expected to respond first, or almost.
func (q *query) Choose(now time.Time, r *rand.Rand, candidates []string) string {
	return q.vm.replicas.Choose(now, r, candidates, q.class.work)
}

// HedgeDelay returns how long to wait for an attempt before sending a hedge.
func (q *query) HedgeDelay(group string) time.Duration {
	d := q.vm.latency.HedgeDelay(q.vm.latencyGroup(group, q.class))
	if q.route.TargetLatency > 0 {
		d = min(d, time.Duration(maxHedgeDelayRatio*float64(q.route.TargetLatency)))
	}
	return max(d, minHedgeDelay)
}

// MedianLatency returns the median latency of an attempt.
func (q *query) MedianLatency(group string) time.Duration {
	return q.vm.latency.Median(q.vm.latencyGroup(group, q.class))
}

// HasQueue returns false, because Choose accounts for queues in the cost of a replica.
func (q *query) HasQueue(string) bool {
	return false
}

// ShedLately reports whether any upstream shed a request of this VM a moment ago.
func (q *query) ShedLately(now time.Time) bool {
	return q.vm.replicas.ShedLately(now)
}

// Shedding returns the number of the replicas that shed a request of this VM a moment ago, and the earliest time at which
// one of these may be tried again.
func (q *query) Shedding(now time.Time, replicas []string) (int, time.Time) {
	return q.vm.replicas.Shedding(now, replicas)
}

// run sends the request and waits for the answer or the cancellation of ctx.
func (q *query) run(ctx context.Context) Answer {
	q.apply(q.state.Start(time.Now()))
	confirmed, ending := q.req.Confirmed, q.vm.ending
	progress := q.progressTimer()
	defer progress.Stop()
	for {
		select {
		case <-progress.C:
			q.req.OnProgress(q.partialAnswer())
			progress.Reset(progressInterval)
		case <-q.done:
			q.abandonAll()
			return q.answer()
		case <-confirmed:
			confirmed = nil
			q.apply(q.state.ReleaseRetries(time.Now()))
		case <-ending:
			ending = nil
			q.apply(q.state.End(time.Now()))
		case <-ctx.Done():
			q.recordLate()
			q.cancelAll()
			q.recordCancelled()
			return Answer{Code: result.Cancelled}
		}
	}
}

// recordLate remembers which servers the query still waits for, so that the log names them.
func (q *query) recordLate() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.late = map[string][]string{}
	for key, s := range q.inFlight {
		service := q.shards[key.shard].Service
		q.late[service] = append(q.late[service], s.handle.Server.ID+"/"+s.handle.Server.Zone)
	}
}

// recordCancelled logs a query whose answer is no longer needed: that of a client that has disconnected, or a part that
// the merging VM no longer waits for.
func (q *query) recordCancelled() {
	if q.req.Shards == nil {
		q.vm.stats.recordDisconnect()
		q.vm.events.Record(event.RequestAbandoned, q.eventFields()...)
		return
	}
	g := q.state.Answer()
	q.vm.events.Record(event.PartCancelled, q.eventFields(event.F(event.CoveredShards, len(g.Covered)), event.F(event.Shards, len(q.shards)),
		event.F(event.MissingShards, q.formatMissing(g.Missing)))...)
}

// progressTimer returns a timer that fires when the query is to be answered, if the merging VM wants to know the progress.
func (q *query) progressTimer() *time.Timer {
	at := answerBy(q.req, q.route)
	if q.req.OnProgress == nil || at.IsZero() {
		at = q.deadline.Add(time.Hour) // never
	}
	return time.NewTimer(time.Until(at))
}

// apply carries out a step of the state machine.
func (q *query) apply(st gather.Step) {
	if st.Done {
		q.recordLate()
	}
	for _, a := range st.Cancel {
		q.abandon(a)
	}
	for _, a := range st.Send {
		q.send(a)
	}
	if !st.WakeAt.IsZero() {
		q.vm.timers.Schedule(st.WakeAt, func() { q.contain(func() { q.apply(q.state.Wake(time.Now())) }) })
	}
	if st.Done {
		q.doneOnce.Do(func() { close(q.done) })
	}
}

// send starts an attempt, unless its replica no longer accepts requests, or since the query began the request has crashed
// upstreams or its API key was withdrawn.
func (q *query) send(a gather.Attempt) {
	now := time.Now()
	if code := q.withdrawn(now, a.Number > 1); code != 0 {
		q.failUnsent(a, code)
		return
	}
	s := &sentAttempt{sentAt: now}
	if q.hold(now, a, s) {
		return
	}
	service := q.cfg.Services[q.shards[a.Shard].Service]
	handle, ok := q.vm.replicas.StartAttempt(now, a.Server, service, q.limitShare(), q.class.work)
	if !ok {
		q.failUnsent(a, result.UpstreamLeaving)
		return
	}
	q.recordAttempt(a, now)
	s.handle = handle
	q.mu.Lock()
	q.inFlight[attemptKey{a.Shard, a.Number}] = s
	q.mu.Unlock()
	q.transmit(a, s)
}

// transmit passes a started attempt to the sender.
func (q *query) transmit(a gather.Attempt, s *sentAttempt) {
	service := q.cfg.Services[q.shards[a.Shard].Service]
	p := q.vm.sender.Send(Attempt{
		Request: q.req, Server: s.handle.Server, MaxConnections: q.maxConnections(service), Deadline: q.deadline,
		NotIdempotent: !q.route.Idempotent, MayBeSent: func() bool { return q.mayBeSent(s) },
	}, func(res AttemptResult) {
		q.submit(func() { q.handleResult(a, s, res) })
	})
	q.mu.Lock()
	s.pending = p
	dropped := s.dropped
	q.mu.Unlock()
	if dropped {
		p.Cancel()
	}
}

// withdrawn returns the code of an attempt that must not be sent any more, or 0: the request has crashed upstreams or its API
// key was withdrawn. later tells whether time has passed since the query began, in which the configuration may have got
// out of date.
func (q *query) withdrawn(now time.Time, later bool) result.Code {
	switch {
	case later && q.vm.crashTracker.Blocked(now, q.fingerprint):
		return result.Quarantined
	case q.route.Public:
	case q.vm.teamWithdrawn(q.req):
		return result.KeyRejected
	case later && q.req.Team != "" && q.vm.confirm().code != 0:
		return result.ConfigUnconfirmed
	}
	return 0
}

// mayBeSent reports whether an attempt that has waited for a connection may still be sent: its replica accepts requests, and
// nothing has happened meanwhile for which the attempt is withdrawn.
func (q *query) mayBeSent(s *sentAttempt) bool {
	now := time.Now()
	code := q.withdrawn(now, true)
	if code == 0 && !q.vm.replicas.MayBeSent(now, s.handle) {
		code = result.UpstreamLeaving
	}
	if code == 0 {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	s.withheldCode = code
	return false
}

// failUnsent ends an attempt that is not sent.
func (q *query) failUnsent(a gather.Attempt, code result.Code) {
	q.submit(func() { q.advance(a, AttemptResult{Code: code}, 0) })
}

// recordAttempt counts an attempt and logs it if it is a hedge.
func (q *query) recordAttempt(a gather.Attempt, now time.Time) {
	q.vm.stats.recordAttempt(a)
	if a.Number == 1 {
		return
	}
	q.mu.Lock()
	q.extraAttempts++
	q.mu.Unlock()
	if a.Hedge {
		service := q.shards[a.Shard].Service
		q.vm.events.Record(event.HedgeSent, event.F(event.RequestID, q.req.ID), event.F(event.Service, service),
			event.F(event.Server, a.Server), event.F(event.Number, a.Number), event.F(event.Delay, q.HedgeDelay(q.route.Name)),
			event.F(event.Elapsed, now.Sub(q.req.ReceivedAt)), event.F(event.Remaining, q.retryBudgets().Level(service)))
	}
}

// removeInFlight ends an attempt in flight. It reports whether the attempt was neither abandoned nor cancelled before. The
// caller holds the lock.
func (q *query) removeInFlight(a gather.Attempt, s *sentAttempt) bool {
	key := attemptKey{a.Shard, a.Number}
	current := q.inFlight[key] == s
	if current {
		delete(q.inFlight, key)
	}
	return current
}

// abandon drops an attempt whose result is no longer needed.
func (q *query) abandon(a gather.Attempt) {
	q.mu.Lock()
	key := attemptKey{a.Shard, a.Number}
	s := q.inFlight[key]
	delete(q.inFlight, key)
	var p PendingAttempt
	if s != nil {
		s.dropped = true
		p = s.pending
	}
	q.mu.Unlock()
	if s != nil {
		q.vm.dropAttempt(s, p, q.class, false)
	}
}

// abandonAll drops the attempts still in flight once the answer is ready.
func (q *query) abandonAll() {
	for s, p := range q.removeAll() {
		q.vm.dropAttempt(s, p, q.class, false)
	}
}

// cancelAll cancels all attempts because the client has disconnected.
func (q *query) cancelAll() {
	q.state.Stop()
	for s, p := range q.removeAll() {
		q.vm.dropAttempt(s, p, q.class, true)
	}
}

// removeAll removes and returns all attempts in flight. An attempt whose Send has not returned yet is
// cancelled when it does.
func (q *query) removeAll() map[*sentAttempt]PendingAttempt {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := make(map[*sentAttempt]PendingAttempt, len(q.inFlight))
	for key, s := range q.inFlight {
		s.dropped = true
		all[s] = s.pending
		delete(q.inFlight, key)
	}
	return all
}

// dropAttempt abandons an attempt, or cancels it if the client has disconnected. The time it has taken so far
// is a lower bound of its latency.
func (vm *VM) dropAttempt(s *sentAttempt, p PendingAttempt, c requestClass, cancel bool) {
	if vm.withdraw(s) {
		return // it was not sent
	}
	now := time.Now()
	elapsed := now.Sub(s.sentAt)
	vm.replicas.EndAttempt(now, s.handle, replica.Result{Outcome: replica.Abandoned, Elapsed: elapsed})
	vm.observeAtLeast(now, c, elapsed)
	switch {
	case p == nil:
	case cancel:
		p.Cancel()
	default:
		p.Abandon(abandonGrace)
	}
	vm.releaseWaiting(now, s.handle.Server.Service)
}

// eventFields returns the log fields common to all events of the query, followed by more.
func (q *query) eventFields(more ...event.Field) []event.Field {
	return requestFields(q.vm, q.req, q.cfg, q.route, more)
}

// requestFields returns the log fields common to all events of a request, followed by more.
func requestFields(vm *VM, req *Request, cfg *route.Config, r *route.Route, more []event.Field) []event.Field {
	return append([]event.Field{
		event.F(event.RequestID, req.ID), event.F(event.Route, r.Name), event.F(event.Version, cfg.Version),
		event.F(event.Age, vm.routes.Age(time.Now())), event.F(event.Elapsed, time.Since(req.ReceivedAt)),
	}, more...)
}
