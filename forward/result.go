package forward

import (
	"time"

	"pistachioshore.dev/event"
	"pistachioshore.dev/gather"
	"pistachioshore.dev/replica"
	"pistachioshore.dev/result"
)

// handleResult handles the result of an attempt, unless the attempt was abandoned or cancelled.
func (q *query) handleResult(a gather.Attempt, s *sentAttempt, res AttemptResult) {
	if q.route.Sharded() {
		res = shardResult(res)
	}
	q.mu.Lock()
	current := q.removeInFlight(a, s)
	if s.withheldCode != 0 {
		res.Code = s.withheldCode
	}
	q.begun = q.begun || (current && res.Code.Effect() == result.MayHaveRun)
	if current && res.Response != nil && res.Code != result.Complete {
		q.errorResponse = res.Response
	}
	q.mu.Unlock()
	if !current {
		return
	}
	now := time.Now()
	elapsed := now.Sub(s.sentAt)
	q.observe(now, s.handle, res, elapsed)
	q.advance(a, res, elapsed)
}

// shardResult returns the result of an attempt at a shard. A response with an error status is complete for a client that
// gets it unchanged, but it holds no records to merge, so for a shard it is a failure of the upstream.
func shardResult(res AttemptResult) AttemptResult {
	if res.Code == result.Complete && res.Response != nil && !res.Response.Succeeded() {
		res.Code, res.Outcome = result.UpstreamFailed, replica.Failed
	}
	return res
}

// advance passes the result of an attempt to the state machine and applies the next step.
func (q *query) advance(a gather.Attempt, res AttemptResult, elapsed time.Duration) {
	if res.Code != result.Complete {
		q.recordFailure(a, res, elapsed)
	}
	q.apply(q.state.HandleResult(time.Now(), gather.AttemptResult[*Response]{
		Shard: a.Shard, Number: a.Number, Code: res.Code, Snapshot: q.cfg.Version, Value: res.Response,
	}))
}

func (q *query) recordFailure(a gather.Attempt, res AttemptResult, elapsed time.Duration) {
	status := 0
	if res.Response != nil {
		status = res.Response.Status
	}
	q.vm.stats.recordFailure(res.Code)
	fields := []event.Field{
		event.F(event.RequestID, q.req.ID), event.F(event.Service, q.shards[a.Shard].Service),
		event.F(event.Server, a.Server), event.F(event.Number, a.Number), event.F(event.Code, res.Code),
		event.F(event.Status, status), event.F(event.Reason, res.Detail), event.F(event.Elapsed, elapsed),
	}
	if res.Code == result.ConnectionLost {
		fields = append(fields, event.F(event.Fingerprint, q.fingerprint)) // links the losses of equal requests
	}
	q.vm.events.Record(event.AttemptFailed, fields...)
}

// observe updates the statistics of the replica and the crash record of the request from the result of an
// attempt.
func (q *query) observe(now time.Time, handle replica.AttemptHandle, res AttemptResult, elapsed time.Duration) {
	vm := q.vm
	end := vm.replicas.EndAttempt(now, handle, replica.Result{
		Outcome: res.Outcome, Elapsed: elapsed, Load: res.Load, Fingerprint: q.fingerprint,
		ShedWindow: vm.shedWindow(q.route),
	})
	vm.releaseWaiting(now, handle.Server.Service)
	vm.reportCrashes(end.Crashed, handle.Server)
	if res.Outcome == replica.ConnectionLost {
		vm.probeAfterLoss(now, handle, q.maxConnections(q.cfg.Services[handle.Server.Service]))
	}
	if res.Outcome == replica.Succeeded {
		vm.crashTracker.RecordSuccess(now, q.fingerprint)
		vm.observeLatency(now, q.class, elapsed, end.Work)
	}
}
