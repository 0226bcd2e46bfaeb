package gather

import (
	"time"

	"pistachioshore.dev/budget"
	"pistachioshore.dev/result"
)

func (s *state[P]) take(now time.Time, p AttemptResult[P]) Step {
	var st Step
	if s.done || p.Shard < 0 || p.Shard >= len(s.shards) {
		return st
	}
	sh := &s.shards[p.Shard]
	if p.Number < 1 || p.Number > len(sh.attempts) || !sh.attempts[p.Number-1].pending {
		return st
	}
	sh.attempts[p.Number-1].pending = false
	if p.Code.Effect() == result.MayHaveRun {
		sh.mayRun = p.Code
	}
	if p.Code == result.Complete && p.Snapshot != s.plan.Snapshot {
		s.stale++
		p.Code = result.SnapshotGone
	}
	switch {
	case sh.ended():
		return st
	case p.Code == result.Complete:
		s.cover(now, p, &st)
	case s.plan.RetriesHeld:
		s.failed = append(s.failed, p)
	default:
		s.retry(now, p, &st)
	}
	s.settle(now, &st)
	return st
}

func (s *state[P]) cover(now time.Time, p AttemptResult[P], st *Step) {
	sh := &s.shards[p.Shard]
	sh.part = &p
	s.open--
	s.covered++
	for _, a := range sh.attempts {
		if a.pending {
			st.Cancel = append(st.Cancel, a.Attempt)
		}
	}
	if s.canary == p.Shard {
		s.canary = -1
		st.CanaryOK = true
		s.sendOpen(now, st)
	}
}

func (s *state[P]) retry(now time.Time, p AttemptResult[P], st *Step) {
	sh := &s.shards[p.Shard]
	if s.mayRetry(now, p) {
		s.send(now, p.Shard, false, st)
		return
	}
	if sh.pending() {
		return
	}
	if s.canary == p.Shard {
		s.canaryFailed(now, p, st)
		return
	}
	s.fail(p.Shard, p.Code)
}

// handleCanaryFailure moves a canary request that was not run to another shard. After one that may have run, the
// query waits for Resume.
func (s *state[P]) canaryFailed(now time.Time, p AttemptResult[P], st *Step) {
	switch {
	case p.Code == result.Quarantined:
		s.failAll(p.Code)
	case p.Code.Effect() == result.NotRun:
		s.fail(p.Shard, p.Code)
		s.startCanary(now, st)
	default:
		s.canary = -1
		s.asking = true
		st.NeedsVerdict = true
	}
}

// shouldRetry reports whether to retry a failed attempt. A quarantined fingerprint is refused everywhere, and a
// canary request that may have crashed an upstream is not retried without the coordinator's permission.
func (s *state[P]) mayRetry(now time.Time, p AttemptResult[P]) bool {
	if p.Code == result.Quarantined || len(s.shards[p.Shard].attempts) >= s.plan.MaxAttempts {
		return false
	}
	if (s.canary == p.Shard || s.plan.NotIdempotent) && p.Code.Effect() != result.NotRun {
		return false
	}
	typical := s.choose.MedianLatency(s.plan.Shards[p.Shard].Shard.Group)
	if !budget.FitsDeadline(now, s.plan.Deadline, typical) {
		return false
	}
	// These refusals cost no upstream work, so trying another replica is exempt from the retry budget.
	// Otherwise the first query after the loss of a zone would use up the budget.
	switch p.Code {
	case result.OwnerMoved, result.OwnerUnreachable, result.Unreachable, result.ZoneOut, result.UpstreamLeaving:
		if len(s.untried(p.Shard)) > 0 {
			return true
		}
	}
	return s.budget.AllowRetry(s.service(p.Shard))
}

// failShard ends a shard without a result. The effect of its code is NotRun only if no attempt may have run.
func (s *state[P]) fail(i int, code result.Code) {
	sh := &s.shards[i]
	if sh.ended() {
		return
	}
	if sh.mayRun != 0 && code.Effect() == result.NotRun {
		code = sh.mayRun
	}
	sh.failed = code
	s.open--
}

// failUnresolved ends every shard that has no final result yet.
func (s *state[P]) failAll(code result.Code) {
	for i := range s.shards {
		s.fail(i, code)
	}
}
