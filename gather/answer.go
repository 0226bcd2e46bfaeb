package gather

import (
	"time"

	"pistachioshore.dev/result"
)

// finishIfReady ends the query if the answer is ready. Otherwise it sets the time of the next wake-up.
func (s *state[T]) finishIfReady(now time.Time, st *Step) {
	n := len(s.shards)
	if s.minimumReachedAt.IsZero() && n > 0 && float64(s.covered) >= s.plan.MinimumCoverage*float64(n) && s.covered > 0 {
		s.minimumReachedAt = now
	}
	end := s.endTime()
	if s.unresolved == 0 || s.coverageOutOfReach() || !now.Before(end) {
		s.finish(now, st)
		return
	}
	st.WakeAt = s.nextDeferred(earlier(end, s.nextHedgeTime(now, end)))
}

// endTime returns the time at which the query ends with the results received by then.
func (s *state[T]) endTime() time.Time {
	switch {
	case s.minimumReachedAt.IsZero():
		return s.plan.Deadline
	case !s.plan.AnswerBy.IsZero():
		return earlier(s.plan.Deadline, s.plan.AnswerBy)
	default:
		return earlier(s.plan.Deadline, s.minimumReachedAt.Add(s.plan.StragglerWait))
	}
}

// coverageOutOfReach reports whether a required minimum coverage can no longer be reached.
func (s *state[T]) coverageOutOfReach() bool {
	return s.plan.CoverageRequired && float64(s.covered+s.unresolved) < s.plan.MinimumCoverage*float64(len(s.shards))
}

// finish ends the query. It cancels the attempts in flight and fails the unresolved shards.
func (s *state[T]) finish(now time.Time, st *Step) {
	s.done = true
	st.Done = true
	st.Restart = s.shouldRestart(now)
	s.failDeferred()
	for i := range s.shards {
		sh := &s.shards[i]
		for _, a := range sh.attempts {
			if a.pending && sh.result == nil {
				st.Cancel = append(st.Cancel, a.Attempt)
			}
		}
		code := result.Late
		if sh.unsent() {
			code = result.DeadlineExpired
		}
		s.failShard(i, code)
	}
}

// shouldRestart reports whether the answer misses its minimum coverage only because upstreams no longer have the
// snapshot, and at least half of the query's time is left for a second run.
func (s *state[T]) shouldRestart(now time.Time) bool {
	n := len(s.shards)
	gone := 0
	for i := range s.shards {
		if s.shards[i].failureCode == result.SnapshotGone {
			gone++
		}
	}
	belowMinimum := float64(s.covered) < s.plan.MinimumCoverage*float64(n)
	reachable := float64(s.covered+gone) >= s.plan.MinimumCoverage*float64(n)
	return gone > 0 && belowMinimum && reachable && s.enoughTimeLeft(now)
}

// enoughTimeLeft reports whether at least half of the time from the first attempt to the deadline is left.
func (s *state[T]) enoughTimeLeft(now time.Time) bool {
	var first time.Time
	for i := range s.shards {
		for _, a := range s.shards[i].attempts {
			if first.IsZero() || a.sentAt.Before(first) {
				first = a.sentAt
			}
		}
	}
	return s.plan.Deadline.Sub(now) >= s.plan.Deadline.Sub(first)/2
}

func (s *state[T]) answer() Answer[T] {
	a := Answer[T]{Code: result.Complete, Snapshot: s.plan.Snapshot, Revision: s.plan.Revision}
	for i := range s.shards {
		sh := &s.shards[i]
		if sh.result == nil {
			code := sh.failureCode
			if code == 0 {
				code = result.Late
			}
			a.Missing = append(a.Missing, MissingShard{Shard: s.plan.Shards[i].Shard, Code: code})
			continue
		}
		a.Covered = append(a.Covered, s.plan.Shards[i].Shard.Name)
		a.Values = append(a.Values, sh.result.Value)
	}
	if len(a.Missing) > 0 {
		a.Code = result.Partial
	}
	return a
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
