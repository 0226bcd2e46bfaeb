package gather

import (
	"math/rand/v2"
	"slices"
	"time"

	"pistachioshore.dev/result"
	"pistachioshore.dev/table"
)

// Query is the state of one query at the VM that accepted it. It is safe for concurrent use.
type Query[P any] struct {
	state *table.Guarded[state[P]]
}

type state[P any] struct {
	plan    Plan
	choose  Chooser
	budget  Budget
	rand    *rand.Rand
	shards  []shard[P]
	open    int // shards without a final result
	covered int
	stale   int  // results dropped because they are from another snapshot
	asking  bool // a lost or late canary request waits for Resume
	canary  int  // shard of the canary request in flight, or -1
	reached time.Time
	done    bool
	failed  []AttemptResult[P] // failed attempts that are retried by ReleaseRetries
}

type shard[P any] struct {
	attempts []attempt
	part     *AttemptResult[P]
	failed   result.Code
	mayRun   result.Code // code of the last attempt that may have run; 0 if there is none
}

// resolved reports whether the shard has a final result.
func (sh *shard[P]) ended() bool {
	return sh.part != nil || sh.failed != 0
}

// hasPending reports whether an attempt of the shard is in flight.
func (sh *shard[P]) pending() bool {
	return slices.ContainsFunc(sh.attempts, func(a attempt) bool { return a.pending })
}

type attempt struct {
	Attempt
	sent    time.Time
	pending bool
}

// New returns a query that has not started.
func New[P any](plan Plan, choose Chooser, budget Budget, r *rand.Rand) *Query[P] {
	if plan.MaxAttempts == 0 {
		plan.MaxAttempts = DefaultMaxAttempts
	}
	s := state[P]{plan: plan, choose: choose, budget: budget, rand: r, shards: make([]shard[P], len(plan.Shards)), canary: -1}
	s.open = len(plan.Shards)
	return &Query[P]{state: table.NewGuarded(table.RankGather, s)}
}

// Start returns the first attempts: one for each shard, or the canary request alone.
func (q *Query[P]) Start(now time.Time) Step {
	return table.WithResult(q.state, func(s *state[P]) Step { return s.start(now) })
}

// HandleResult processes the result of an attempt.
func (q *Query[P]) HandleResult(now time.Time, p AttemptResult[P]) Step {
	return table.WithResult(q.state, func(s *state[P]) Step { return s.take(now, p) })
}

// Resume continues after a lost or late canary request. It sends another canary request if canary is set, and
// otherwise fans out to all shards because the fingerprint is known to be safe by now. If refused is not 0, the
// query sends nothing more and fails with that code, unless a late canary request may still succeed.
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

// Wake sends hedges that are due, and ends the query if its time is up.
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

// ReleaseRetries allows retries and hedges in a query whose plan holds them back.
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

// Stop ends the query without an answer. Later calls return an empty Step.
func (q *Query[P]) Stop() {
	q.state.With(func(s *state[P]) { s.done = true })
}

// Answer returns the current answer, which is final once a step was Done.
func (q *Query[P]) Answer() Answer[P] {
	return table.WithResult(q.state, (*state[P]).answer)
}

// StaleResults returns the number of results that were dropped because they are from another snapshot.
func (q *Query[P]) StaleResults() int {
	return table.WithResult(q.state, func(s *state[P]) int { return s.stale })
}
