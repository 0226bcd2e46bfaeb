package vm

import (
	"context"
	"sync"
	"time"

	"pistachioshore.dev/balancer"
	"pistachioshore.dev/budget"
	"pistachioshore.dev/catalog"
	"pistachioshore.dev/entry"
	"pistachioshore.dev/gather"
	"pistachioshore.dev/result"
	"pistachioshore.dev/upstream"
)

// activeQuery is one query under way with what its sub-requests need.
type activeQuery struct {
	vm          *VM
	query       entry.Query
	cfg         *catalog.Config
	route       resolved
	plan        gather.Plan
	state       *gather.Query[entry.Matches]
	ids         []uint64 // sub-request number of each shard
	fingerprint uint64
	canaries    canaries
	trace       string

	once    sync.Once
	restart bool
	done    chan struct{}
}

func (a *activeQuery) run(ctx context.Context) (entry.Answer, bool, error) {
	a.follow(a.state.Start(a.vm.now()))
	select {
	case <-a.done:
	case <-ctx.Done():
		a.abandon()
		return entry.Answer{}, false, result.New(result.Late, "the caller has left")
	}
	for range a.state.StaleResults() {
		a.vm.observe.Counters.PartDropped()
	}
	answer := entry.NewAnswer(a.state.Answer(), a.route.limit)
	a.vm.shedder.Observe(a.vm.now(), len(a.plan.Shards), overloaded(answer))
	return answer, a.restart, nil
}

// overloaded counts the shards that an answer lacks because there was more work than time.
func overloaded(a entry.Answer) int {
	n := 0
	for _, m := range a.Missing {
		switch m.Code {
		case result.Overloaded, result.DeadlineExpired, result.Late, result.UpstreamShed:
			n++
		}
	}
	return n
}

// abandon withdraws every attempt of a query that nobody waits for.
func (a *activeQuery) abandon() {
	var keys []attemptKey
	for _, id := range a.ids {
		for n := 1; n <= gather.DefaultMaxAttempts; n++ {
			keys = append(keys, attemptKey{id, n})
		}
	}
	a.vm.withdraw(keys)
}

// follow does what a step of the query asks for.
func (a *activeQuery) follow(st gather.Step) {
	if st.CanaryOK {
		a.canaries.succeeded()
	}
	if st.NeedsVerdict {
		a.vm.requests.Submit(a.askAgain)
	}
	if len(st.Cancel) > 0 {
		keys := make([]attemptKey, 0, len(st.Cancel))
		for _, at := range st.Cancel {
			keys = append(keys, attemptKey{a.ids[at.Shard], at.Number})
		}
		a.vm.withdraw(keys)
	}
	a.send(st.Send)
	if !st.WakeAt.IsZero() {
		a.vm.timers.Schedule(st.WakeAt, func() { a.follow(a.state.Wake(a.vm.now())) })
	}
	if st.Done {
		a.once.Do(func() {
			a.restart = st.Restart
			close(a.done)
		})
	}
}

// askAgain asks the coordinator whether the query may go on after a lost or late canary request.
func (a *activeQuery) askAgain() {
	var refused result.Code
	canary, err := a.vm.mayRun(a.vm.ctx, a.fingerprint, a.plan.Deadline)
	if err != nil {
		refused = codeOf(err)
	}
	if canary {
		a.canaries.granted()
	}
	a.follow(a.state.Resume(a.vm.now(), canary, refused))
}

func (a *activeQuery) send(list []gather.Attempt) {
	if len(list) == 0 {
		return
	}
	items := make([]subRequest, 0, len(list))
	for _, at := range list {
		a.vm.observe.Counters.SubRequested(1)
		switch {
		case at.Hedge:
			a.vm.observe.Counters.Hedged()
		case at.Number > 1:
			a.vm.observe.Counters.Retried()
		}
		items = append(items, a.subRequest(at))
	}
	a.vm.dispatch(items)
}

func (a *activeQuery) subRequest(at gather.Attempt) subRequest {
	shard := a.plan.Shards[at.Shard].Shard
	sent := a.vm.now()
	return subRequest{
		upstream: at.Server,
		hedge:    at.Hedge,
		job: upstream.Job[work]{
			Key:   upstream.AttemptKey{Origin: a.vm.settings.Address, ID: a.ids[at.Shard], Attempt: at.Number},
			Class: a.route.class, Deadline: a.plan.Deadline.Add(-budget.ReplyMargin), Fingerprint: a.fingerprint, Idempotent: true,
			Payload: work{
				requestID: subRequestID(a.query.ID, shard.Name), shard: shard.Name, snapshot: a.plan.Snapshot,
				filter: a.query.Filter, limit: a.route.limit, trace: a.trace,
			},
		},
		deliver: func(p part) { a.take(at, shard.Group, sent, p) },
	}
}

// take passes a part to the query and its timing to the replica choice.
func (a *activeQuery) take(at gather.Attempt, group string, sent time.Time, p part) {
	a.vm.reached(StepMerging, a.query.ID)
	if p.crashed || p.code == result.ConnectionLost {
		a.canaries.lost()
	}
	now := a.vm.now()
	a.vm.chooser.Observe(now, group, at.Server, observation(now.Sub(sent), p))
	a.follow(a.state.HandleResult(now, gather.AttemptResult[entry.Matches]{
		Shard: at.Shard, Number: at.Number, Code: p.code, Snapshot: p.snapshot,
		Value: entry.Matches{Records: p.records, Matched: p.matched},
	}))
}

// observation tells the replica choice how an attempt ended. What an owner VM refuses says nothing
// about the upstream, so it counts as shed.
func observation(elapsed time.Duration, p part) balancer.Observation {
	o := balancer.Observation{Elapsed: elapsed, QueueLength: p.queued, Cancelled: p.code == result.Cancelled}
	switch p.code {
	case result.Complete, result.Executed, result.SnapshotGone:
		o.OK = true
	case result.Unreachable, result.ConnectionLost, result.UpstreamFailed, result.Late, result.Cancelled:
	default:
		o.Shed = true
	}
	return o
}

// subRequestID names a sub-request towards upstreams: the caller's request and the shard.
func subRequestID(request, shard string) string {
	return request + "/" + shard
}
