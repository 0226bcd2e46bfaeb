package gather

import (
	"time"

	"pistachioshore.dev/budget"
	"pistachioshore.dev/result"
)

func (s *state[T]) handleResult(now time.Time, res AttemptResult[T]) Step {
	var st Step
	if s.done || res.Shard < 0 || res.Shard >= len(s.shards) {
		return st
	}
	sh := &s.shards[res.Shard]
	if res.Number < 1 || res.Number > len(sh.attempts) || !sh.attempts[res.Number-1].pending {
		return st
	}
	sh.attempts[res.Number-1].pending = false
	if res.Code.Effect() == result.MayHaveRun {
		sh.mayHaveRunCode = res.Code
	}
	if res.Code == result.Complete && res.Snapshot != s.plan.Snapshot {
		s.stale++
		res.Code = result.SnapshotGone
	}
	switch {
	case sh.resolved():
		return st
	case res.Code == result.Complete:
		s.recordSuccess(now, res, &st)
	case s.plan.RetriesHeld:
		s.heldFailures = append(s.heldFailures, res)
	default:
		s.retryOrFail(now, res, &st)
	}
	if len(s.deferred) > 0 && s.needed() {
		s.retryDeferred(now, &st)
	}
	s.finishIfReady(now, &st)
	return st
}

func (s *state[T]) recordSuccess(now time.Time, res AttemptResult[T], st *Step) {
	sh := &s.shards[res.Shard]
	sh.result = &res
	s.unresolved--
	s.covered++
	for _, a := range sh.attempts {
		if a.pending {
			st.Cancel = append(st.Cancel, a.Attempt)
		}
	}
	if s.canaryShard == res.Shard {
		s.canaryShard = -1
		st.CanaryOK = true
		s.sendUnresolved(now, st)
	}
}

func (s *state[T]) retryOrFail(now time.Time, res AttemptResult[T], st *Step) {
	sh := &s.shards[res.Shard]
	if s.deferRetry(now, res) {
		return
	}
	if s.shouldRetry(now, res) {
		s.send(now, res.Shard, false, st)
		return
	}
	if sh.hasPending() {
		return
	}
	if s.canaryShard == res.Shard {
		s.handleCanaryFailure(now, res, st)
		return
	}
	s.failShard(res.Shard, res.Code)
}

// handleCanaryFailure moves a canary request that was not run to another shard. After one that may have run, the
// query waits for Resume.
func (s *state[T]) handleCanaryFailure(now time.Time, res AttemptResult[T], st *Step) {
	switch {
	case isFinal(res.Code):
		s.failUnresolved(res.Code)
	case res.Code.Effect() == result.NotRun:
		s.failShard(res.Shard, res.Code)
		s.startCanary(now, st)
	default:
		s.canaryShard = -1
		s.awaitingVerdict = true
		st.NeedsVerdict = true
	}
}

// shouldRetry reports whether to retry a failed attempt. A quarantined fingerprint is refused everywhere, and a
// canary request that may have crashed an upstream is not retried without the permission of the quarantine coordinator.
func (s *state[T]) shouldRetry(now time.Time, res AttemptResult[T]) bool {
	if res.Final || res.Code == result.Quarantined || len(s.shards[res.Shard].attempts) >= s.plan.MaxAttempts {
		return false
	}
	if (s.canaryShard == res.Shard || s.plan.NotIdempotent) && res.Code.Effect() != result.NotRun {
		return false
	}
	median := s.chooser.MedianLatency(s.plan.Shards[res.Shard].Shard.Group)
	if !budget.FitsDeadline(now, s.plan.Deadline, median) {
		return false
	}
	// These refusals cost no upstream work, so trying another replica is exempt from the retry budget.
	// Otherwise the first query after the loss of a zone would use up the budget.
	switch res.Code {
	case result.OwnerMoved, result.OwnerUnreachable, result.Unreachable, result.ZoneOut, result.UpstreamLeaving:
		if len(s.untried(res.Shard)) > 0 {
			return true
		}
	}
	return s.allowRetry(now, res.Shard)
}

// isFinal reports whether another attempt would end with the same code.
func isFinal(code result.Code) bool {
	switch code {
	case result.Quarantined, result.KeyRejected, result.ConfigUnconfirmed:
		return true
	}
	return false
}

// failShard ends a shard without a result. The effect of its code is NotRun only if no attempt may have run.
func (s *state[T]) failShard(i int, code result.Code) {
	sh := &s.shards[i]
	if sh.resolved() {
		return
	}
	if sh.mayHaveRunCode != 0 && code.Effect() == result.NotRun {
		code = sh.mayHaveRunCode
	}
	sh.failureCode = code
	s.unresolved--
}

// failUnresolved ends every shard that has no final result yet.
func (s *state[T]) failUnresolved(code result.Code) {
	for i := range s.shards {
		s.failShard(i, code)
	}
}
