package gather

import (
	"math/rand/v2"
	"slices"
	"time"

	"pistachioshore.dev/result"
	"pistachioshore.dev/table"
)

// Query is the state of one query at the VM that accepted it. It is safe for concurrent use.
type Query[T any] struct {
	state *table.Guarded[state[T]]
}

type state[T any] struct {
	plan             Plan
	chooser          Chooser
	budget           Budget
	rand             *rand.Rand
	shards           []shard[T]
	unresolved       int // shards without a final result
	covered          int
	stale            int  // results dropped because they are from another snapshot
	awaitingVerdict  bool // a lost or late canary request waits for Resume
	canaryShard      int  // shard of the canary request in flight, or -1
	minimumReachedAt time.Time
	done             bool
	heldFailures     []AttemptResult[T] // failed attempts for ReleaseRetries to retry
	overload         Overload           // nil if the chooser does not know it
	deferred         []deferredRetry[T] // retries that wait until an upstream may have room again
}

type shard[T any] struct {
	attempts       []attempt
	result         *AttemptResult[T]
	failureCode    result.Code
	mayHaveRunCode result.Code // code of the last attempt that may have run; 0 if there is none
}

// resolved reports whether the shard has a final result.
func (sh *shard[T]) resolved() bool {
	return sh.result != nil || sh.failureCode != 0
}

// hasPending reports whether an attempt of the shard is in flight.
func (sh *shard[T]) hasPending() bool {
	return slices.ContainsFunc(sh.attempts, func(a attempt) bool { return a.pending })
}

type attempt struct {
	Attempt
	sentAt  time.Time
	pending bool
	waiting bool // not sent yet, see Hold
}

// New returns a query that has not started.
func New[T any](plan Plan, chooser Chooser, budget Budget, r *rand.Rand) *Query[T] {
	if plan.MaxAttempts == 0 {
		plan.MaxAttempts = DefaultMaxAttempts
	}
	s := state[T]{plan: plan, chooser: chooser, budget: budget, rand: r, shards: make([]shard[T], len(plan.Shards)), canaryShard: -1}
	s.unresolved = len(plan.Shards)
	s.overload, _ = chooser.(Overload)
	return &Query[T]{state: table.NewGuarded(table.RankGather, s)}
}

// Start returns the first attempts: one for each shard, or the canary request alone.
func (q *Query[T]) Start(now time.Time) Step {
	return table.WithResult(q.state, func(s *state[T]) Step { return s.start(now) })
}

// HandleResult processes the result of an attempt.
func (q *Query[T]) HandleResult(now time.Time, res AttemptResult[T]) Step {
	return table.WithResult(q.state, func(s *state[T]) Step { return s.handleResult(now, res) })
}

// Resume continues after a lost or late canary request. It sends another canary request if canary is set, and
// otherwise fans out to all shards because the fingerprint is known to be safe by now. If refusalCode is not 0, it
// sends nothing and the query fails with that code, except that a late canary request which is not quarantined may
// still succeed.
func (q *Query[T]) Resume(now time.Time, canary bool, refusalCode result.Code) Step {
	return table.WithResult(q.state, func(s *state[T]) Step {
		if s.done || !s.awaitingVerdict {
			return Step{}
		}
		var st Step
		s.awaitingVerdict = false
		late := s.canaryShard >= 0 && s.shards[s.canaryShard].hasPending()
		switch {
		case refusalCode == result.Quarantined || (refusalCode != 0 && !late):
			s.failUnresolved(refusalCode)
		case refusalCode != 0: // the late canary request may still succeed
		case canary && late:
			s.send(now, s.canaryShard, true, &st)
		case canary:
			s.startCanary(now, &st)
		default:
			s.canaryShard = -1
			s.sendUnresolved(now, &st)
		}
		s.finishIfReady(now, &st)
		return st
	})
}

// Wake sends hedges that are due, and ends the query if its time is up.
func (q *Query[T]) Wake(now time.Time) Step {
	return table.WithResult(q.state, func(s *state[T]) Step {
		if s.done {
			return Step{}
		}
		var st Step
		s.retryDeferred(now, &st)
		s.sendHedges(now, &st)
		s.finishIfReady(now, &st)
		return st
	})
}

// ReleaseRetries allows retries and hedges in a query whose plan holds them back.
func (q *Query[T]) ReleaseRetries(now time.Time) Step {
	return table.WithResult(q.state, func(s *state[T]) Step {
		if s.done || !s.plan.RetriesHeld {
			return Step{}
		}
		var st Step
		s.plan.RetriesHeld = false
		s.sortByProspect(now, s.heldFailures)
		for _, res := range s.heldFailures {
			s.retryOrFail(now, res, &st)
		}
		s.heldFailures = nil
		s.sendHedges(now, &st)
		s.finishIfReady(now, &st)
		return st
	})
}

// End ends the query with the results received so far, as at its deadline.
func (q *Query[T]) End(now time.Time) Step {
	return table.WithResult(q.state, func(s *state[T]) Step {
		var st Step
		if !s.done {
			s.finish(now, &st)
		}
		return st
	})
}

// Stop ends the query without an answer. Later calls return an empty Step.
func (q *Query[T]) Stop() {
	q.state.With(func(s *state[T]) { s.done = true })
}

// Answer returns the current answer, which is final once a step was Done.
func (q *Query[T]) Answer() Answer[T] {
	return table.WithResult(q.state, (*state[T]).answer)
}

// StaleResults returns the number of results that were dropped because they are from another snapshot.
func (q *Query[T]) StaleResults() int {
	return table.WithResult(q.state, func(s *state[T]) int { return s.stale })
}
