package gather

import (
	"math/rand/v2"
	"slices"
	"time"

	"pistachioshore.dev/result"
	"pistachioshore.dev/table"
)

// Query is the state of one query at the VM that accepted it; it is safe for concurrent use.
type Query[P any] struct {
	state *table.Guarded[state[P]]
}

type state[P any] struct {
	plan    Plan
	choose  Chooser
	budget  Budget
	rand    *rand.Rand
	shards  []shard[P]
	open    int // shards without an outcome
	covered int
	stale   int  // parts dropped for another snapshot
	asking  bool // a lost canary request waits for Resume
	canary  int  // index of the shard of the canary request, -1 when none is under way
	reached time.Time
	done    bool
	failed  []AttemptResult[P] // ends of attempts that are followed by others after Release
}

type shard[P any] struct {
	attempts []attempt
	part     *AttemptResult[P]
	failed   result.Code
	mayRun   result.Code // outcome of an attempt that may have run
}

// ended reports whether the shard has an outcome.
func (sh *shard[P]) ended() bool {
	return sh.part != nil || sh.failed != 0
}

// pending reports whether an attempt of the shard is under way.
func (sh *shard[P]) pending() bool {
	return slices.ContainsFunc(sh.attempts, func(a attempt) bool { return a.pending })
}

type attempt struct {
	Attempt
	sent    time.Time
	pending bool
}

// New returns a query that has not sent anything yet.
func New[P any](plan Plan, choose Chooser, budget Budget, r *rand.Rand) *Query[P] {
	if plan.MaxAttempts == 0 {
		plan.MaxAttempts = DefaultMaxAttempts
	}
	s := state[P]{plan: plan, choose: choose, budget: budget, rand: r, shards: make([]shard[P], len(plan.Shards)), canary: -1}
	s.open = len(plan.Shards)
	return &Query[P]{state: table.NewGuarded(table.RankGather, s)}
}

// Start returns the first sub-requests: one for each shard, or the canary request alone.
func (q *Query[P]) Start(now time.Time) Step {
	return table.WithResult(q.state, func(s *state[P]) Step { return s.start(now) })
}

// HandleResult takes the outcome of an attempt.
func (q *Query[P]) HandleResult(now time.Time, p AttemptResult[P]) Step {
	return table.WithResult(q.state, func(s *state[P]) Step { return s.take(now, p) })
}

// Resume goes on after a lost or late canary request: with another canary request, with the full fan-out
// if the fingerprint has proved good meanwhile, or not at all if refused is a code.
func (q *Query[P]) Resume(now time.Time, canary bool, refused result.Code) Step {
	return table.WithResult(q.state, func(s *state[P]) Step {
		if s.done || !s.asking {
			return Step{}
		}
		var st Step
		s.asking = false
		late := s.canary >= 0 && s.shards[s.canary].pending()
		switch {
		case refused == result.Quarantined || (refused != 0 && !late):
			s.failAll(refused)
		case refused != 0: // the late canary request may still succeed
		case canary && late:
			s.send(now, s.canary, true, &st)
		case canary:
			s.startCanary(now, &st)
		default:
			s.canary = -1
			s.sendOpen(now, &st)
		}
		s.settle(now, &st)
		return st
	})
}

// Wake sends hedges that are due and ends a query whose time is over.
func (q *Query[P]) Wake(now time.Time) Step {
	return table.WithResult(q.state, func(s *state[P]) Step {
		if s.done {
			return Step{}
		}
		var st Step
		s.hedge(now, &st)
		s.settle(now, &st)
		return st
	})
}

// ReleaseRetries allows second attempts in a query that was planned as held.
func (q *Query[P]) ReleaseRetries(now time.Time) Step {
	return table.WithResult(q.state, func(s *state[P]) Step {
		if s.done || !s.plan.RetriesHeld {
			return Step{}
		}
		var st Step
		s.plan.RetriesHeld = false
		for _, p := range s.failed {
			s.retry(now, p, &st)
		}
		s.failed = nil
		s.hedge(now, &st)
		s.settle(now, &st)
		return st
	})
}

// Stop ends the query without an answer: later parts and wake-ups ask for nothing.
func (q *Query[P]) Stop() {
	q.state.With(func(s *state[P]) { s.done = true })
}

// Answer returns the answer as it stands; it is final once a step was Done.
func (q *Query[P]) Answer() Answer[P] {
	return table.WithResult(q.state, (*state[P]).answer)
}

// StaleResults returns how many parts of another snapshot were dropped.
func (q *Query[P]) StaleResults() int {
	return table.WithResult(q.state, func(s *state[P]) int { return s.stale })
}
