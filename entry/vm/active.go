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

// activeQuery is a query in progress with the state shared by its sub-requests.
type activeQuery struct {
	vm            *VM
	query         entry.Query
	cfg           *catalog.Config
	resolved      resolvedQuery
	plan          gather.Plan
	state         *gather.Query[entry.Matches]
	subRequestIDs []uint64 // sub-request ID of each shard
	fingerprint   uint64
	grants        canaryGrants
	traceParent   string

	finishOnce sync.Once
	restart    bool          // set before done is closed
	done       chan struct{} // closed when the query is answered
}

// run starts the query and waits until it is answered or ctx ends. The second result reports whether a
// restart on a newer snapshot is worthwhile.
func (a *activeQuery) run(ctx context.Context) (entry.Answer, bool, error) {
	a.applyStep(a.state.Start(a.vm.now()))
	select {
	case <-a.done:
	case <-ctx.Done():
		a.cancelAll()
		return entry.Answer{}, false, result.New(result.Late, "the caller has left")
	}
	for range a.state.StaleResults() {
		a.vm.instrumentation.Counters.RecordStaleResult()
	}
	answer := entry.NewAnswer(a.state.Answer(), a.resolved.limit)
	a.vm.shedder.Observe(a.vm.now(), len(a.plan.Shards), countOverloaded(answer))
	return answer, a.restart, nil
}

// countOverloaded counts the shards missing from an answer because of overload or lack of time.
func countOverloaded(a entry.Answer) int {
	n := 0
	for _, m := range a.Missing {
		switch m.Code {
		case result.Overloaded, result.DeadlineExpired, result.Late, result.UpstreamShed:
			n++
		}
	}
	return n
}

// cancelAll cancels all attempts of a query whose caller has disconnected.
func (a *activeQuery) cancelAll() {
	var keys []pendingKey
	for _, id := range a.subRequestIDs {
		for n := 1; n <= gather.DefaultMaxAttempts; n++ {
			keys = append(keys, pendingKey{id, n})
		}
	}
	a.vm.cancelAttempts(keys)
}

// applyStep performs the actions of a query step.
func (a *activeQuery) applyStep(st gather.Step) {
	if st.CanaryOK {
		a.grants.reportSuccess()
	}
	if st.NeedsVerdict {
		a.vm.requestPool.Submit(a.requestVerdict)
	}
	if len(st.Cancel) > 0 {
		keys := make([]pendingKey, 0, len(st.Cancel))
		for _, at := range st.Cancel {
			keys = append(keys, pendingKey{a.subRequestIDs[at.Shard], at.Number})
		}
		a.vm.cancelAttempts(keys)
	}
	a.sendAttempts(st.Send)
	if !st.WakeAt.IsZero() {
		a.vm.eventTimers.Schedule(st.WakeAt, func() { a.applyStep(a.state.Wake(a.vm.now())) })
	}
	if st.Done {
		a.finishOnce.Do(func() {
			a.restart = st.Restart
			close(a.done)
		})
	}
}

// requestVerdict asks the coordinator whether the query may continue after a lost or late canary
// request.
func (a *activeQuery) requestVerdict() {
	var refusalCode result.Code
	canary, err := a.vm.checkQuarantine(a.vm.ctx, a.fingerprint, a.plan.Deadline)
	if err != nil {
		refusalCode = codeOf(err)
	}
	if canary {
		a.grants.add()
	}
	a.applyStep(a.state.Resume(a.vm.now(), canary, refusalCode))
}

func (a *activeQuery) sendAttempts(attempts []gather.Attempt) {
	if len(attempts) == 0 {
		return
	}
	items := make([]subRequest, 0, len(attempts))
	for _, at := range attempts {
		a.vm.instrumentation.Counters.RecordSubRequests(1)
		switch {
		case at.Hedge:
			a.vm.instrumentation.Counters.RecordHedge()
		case at.Number > 1:
			a.vm.instrumentation.Counters.RecordRetry()
		}
		items = append(items, a.newSubRequest(at))
	}
	a.vm.dispatch(items)
}

func (a *activeQuery) newSubRequest(at gather.Attempt) subRequest {
	shard := a.plan.Shards[at.Shard].Shard
	sentAt := a.vm.now()
	return subRequest{
		upstream: at.Server,
		hedge:    at.Hedge,
		job: upstream.Job[payload]{
			Key:   upstream.AttemptKey{Origin: a.vm.settings.Address, ID: a.subRequestIDs[at.Shard], Attempt: at.Number},
			Class: a.resolved.class, Deadline: a.plan.Deadline.Add(-budget.ReplyMargin), Fingerprint: a.fingerprint, Idempotent: true,
			Payload: payload{
				requestID: upstreamRequestID(a.query.ID, shard.Name), shard: shard.Name, snapshot: a.plan.Snapshot,
				filter: a.query.Filter, limit: a.resolved.limit, traceParent: a.traceParent,
			},
		},
		deliver: func(res attemptResult) { a.handleResult(at, shard.Group, sentAt, res) },
	}
}

// handleResult passes the result of an attempt to the query, and its code and timing to the chooser.
func (a *activeQuery) handleResult(at gather.Attempt, group string, sentAt time.Time, res attemptResult) {
	a.vm.notifyStep(StepMerging, a.query.ID)
	if res.crashed || res.code == result.ConnectionLost {
		a.grants.dropLost()
	}
	now := a.vm.now()
	a.vm.chooser.Observe(now, group, at.Server, newObservation(now.Sub(sentAt), res))
	a.applyStep(a.state.HandleResult(now, gather.AttemptResult[entry.Matches]{
		Shard: at.Shard, Number: at.Number, Code: res.code, Snapshot: res.snapshot,
		Value: entry.Matches{Records: res.records, Matched: res.matched},
	}))
}

// newObservation converts the result of an attempt for the chooser. A refusal by an owner VM says
// nothing about the upstream's health, so it counts as shed and not as failed.
func newObservation(elapsed time.Duration, res attemptResult) balancer.Observation {
	o := balancer.Observation{Elapsed: elapsed, QueueLength: res.queued, Cancelled: res.code == result.Cancelled}
	switch res.code {
	case result.Complete, result.Executed, result.SnapshotGone:
		o.OK = true
	case result.Unreachable, result.ConnectionLost, result.UpstreamFailed, result.Late, result.Cancelled:
	default:
		o.Shed = true
	}
	return o
}

// upstreamRequestID returns the ID that upstreams see for the sub-request of a request to a shard.
func upstreamRequestID(request, shard string) string {
	return request + "/" + shard
}
