package gather

import (
	"time"

	"pistachioshore.dev/result"
)

// finishIfReady ends the query if the answer is ready. Otherwise it sets the time of the next wake-up.
func (s *state[P]) settle(now time.Time, st *Step) {
	n := len(s.shards)
	if s.reached.IsZero() && n > 0 && float64(s.covered) >= s.plan.MinimumCoverage*float64(n) && s.covered > 0 {
		s.reached = now
	}
	end := s.end()
	if s.open == 0 || s.hopeless() || !now.Before(end) {
		s.finish(now, st)
		return
	}
	st.WakeAt = earlier(end, s.nextHedge(now, end))
}

// endTime returns the time at which the query ends with the results received by then.
func (s *state[P]) end() time.Time {
	switch {
	case s.reached.IsZero():
		return s.plan.Deadline
	case !s.plan.AnswerBy.IsZero():
		return earlier(s.plan.Deadline, s.plan.AnswerBy)
	default:
		return earlier(s.plan.Deadline, s.reached.Add(s.plan.StragglerWait))
	}
}

// coverageOutOfReach reports whether a required minimum coverage can no longer be reached.
func (s *state[P]) hopeless() bool {
	return s.plan.CoverageRequired && float64(s.covered+s.open) < s.plan.MinimumCoverage*float64(len(s.shards))
}

func (s *state[P]) finish(now time.Time, st *Step) {
	s.done = true
	st.Done = true
	st.Restart = s.worthRestart(now)
	for i := range s.shards {
		sh := &s.shards[i]
		for _, a := range sh.attempts {
			if a.pending && sh.part == nil {
				st.Cancel = append(st.Cancel, a.Attempt)
			}
		}
		code := result.Late
		if len(sh.attempts) == 0 {
			code = result.DeadlineExpired
		}
		s.fail(i, code)
	}
}

// shouldRestart reports whether the answer misses its minimum coverage only because upstreams no longer have the
// snapshot, and at least half of the query's time is left for a second run.
func (s *state[P]) worthRestart(now time.Time) bool {
	n := len(s.shards)
	gone := 0
	for i := range s.shards {
		if s.shards[i].failed == result.SnapshotGone {
			gone++
		}
	}
	below := float64(s.covered) < s.plan.MinimumCoverage*float64(n)
	enough := float64(s.covered+gone) >= s.plan.MinimumCoverage*float64(n)
	return gone > 0 && below && enough && s.timeLeft(now)
}

func (s *state[P]) timeLeft(now time.Time) bool {
	var first time.Time
	for i := range s.shards {
		for _, a := range s.shards[i].attempts {
			if first.IsZero() || a.sent.Before(first) {
				first = a.sent
			}
		}
	}
	return s.plan.Deadline.Sub(now) >= s.plan.Deadline.Sub(first)/2
}

func (s *state[P]) answer() Answer[P] {
	a := Answer[P]{Code: result.Complete, Snapshot: s.plan.Snapshot, Revision: s.plan.Revision}
	for i := range s.shards {
		sh := &s.shards[i]
		if sh.part == nil {
			code := sh.failed
			if code == 0 {
				code = result.Late
			}
			a.Missing = append(a.Missing, MissingShard{Shard: s.plan.Shards[i].Shard, Code: code})
			continue
		}
		a.Covered = append(a.Covered, s.plan.Shards[i].Shard.Name)
		a.Values = append(a.Values, sh.part.Value)
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
