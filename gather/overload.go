package gather

import (
	"slices"
	"time"

	"pistachioshore.dev/result"
)

// Overload is what a Chooser may know in addition: which upstreams shed a request a moment ago.
type Overload interface {
	// ShedLately reports whether any upstream shed a request a moment ago. If not, Shedding need not be called.
	ShedLately(now time.Time) bool
	// Shedding returns the number of the replicas that shed a request a moment ago, and the earliest time at which one of
	// these may be tried again.
	Shedding(now time.Time, replicas []string) (int, time.Time)
}

// ReservingBudget is a Budget that keeps tokens for the shards that decide whether a query is answered. The methods take a
// token for another shard of an overloaded service, unless only those tokens are left.
type ReservingBudget interface {
	AllowOptionalHedge(service string) bool
	AllowOptionalRetry(service string) bool
}

// deferredRetry is a shard whose attempt was shed, and which is retried when one of its upstreams may have room again.
type deferredRetry[T any] struct {
	res AttemptResult[T]
	at  time.Time
}

// shedding reports whether all replicas of shard i shed a request a moment ago, and until when that counts.
func (s *state[T]) shedding(now time.Time, i int) (bool, time.Time) {
	if !s.shedLately(now) {
		return false, time.Time{}
	}
	replicas := s.plan.Shards[i].Replicas
	n, until := s.overload.Shedding(now, replicas)
	return n > 0 && n == len(replicas), until
}

// shedLately reports whether any upstream is known to have shed a request a moment ago.
func (s *state[T]) shedLately(now time.Time) bool {
	return s.overload != nil && s.overload.ShedLately(now)
}

// needed reports whether the minimum coverage is out of reach if one more shard fails. Each unresolved shard then decides
// whether the query is answered.
func (s *state[T]) needed() bool {
	return float64(s.covered+s.unresolved-1) < s.plan.MinimumCoverage*float64(len(s.shards))
}

// deferRetry holds back the retry of a shed attempt if all replicas of the shard shed a request a moment ago and the
// minimum coverage can be reached without the shard. A retry at once would probably be shed as well, and its token is
// better spent on a shard that decides whether the query is answered at all. A shard is deferred once.
func (s *state[T]) deferRetry(now time.Time, res AttemptResult[T]) bool {
	if res.Final || res.Code != result.UpstreamShed || len(s.shards) < 2 || s.canaryShard == res.Shard || s.needed() || s.shards[res.Shard].hasPending() {
		return false
	}
	all, until := s.shedding(now, res.Shard)
	if !all || len(s.shards[res.Shard].attempts) >= s.plan.MaxAttempts {
		return false
	}
	median := s.chooser.MedianLatency(s.plan.Shards[res.Shard].Shard.Group)
	if end := s.answerDue(); until.Add(median).After(end) {
		return false
	}
	s.deferred = append(s.deferred, deferredRetry[T]{res, until})
	return true
}

// answerDue returns the time by which a result must arrive to be part of an answer with the minimum coverage.
func (s *state[T]) answerDue() time.Time {
	if s.plan.AnswerBy.IsZero() {
		return s.plan.Deadline
	}
	return earlier(s.plan.Deadline, s.plan.AnswerBy)
}

// retryDeferred retries the deferred shards that are due, or that the minimum coverage has come to depend on. A shard whose
// replicas have all shed another request meanwhile, and which is not needed, fails.
func (s *state[T]) retryDeferred(now time.Time, st *Step) {
	list := s.deferred
	s.deferred = nil
	for _, d := range list {
		i := d.res.Shard
		all, _ := s.shedding(now, i)
		switch {
		case s.shards[i].resolved():
		case !s.needed() && now.Before(d.at):
			s.deferred = append(s.deferred, d)
		case all && !s.needed(), !s.shouldRetry(now, d.res):
			s.failShard(i, d.res.Code)
		default:
			s.send(now, i, false, st)
		}
	}
}

// nextDeferred returns the earliest time at which a deferred shard is due, or end if that is earlier.
func (s *state[T]) nextDeferred(end time.Time) time.Time {
	for _, d := range s.deferred {
		end = earlier(end, d.at)
	}
	return end
}

// skipHedge reports whether a hedge at shard i would go to an upstream that shed a request a moment ago.
func (s *state[T]) skipHedge(now time.Time, i int) bool {
	if !s.shedLately(now) {
		return false
	}
	candidates := s.candidates(i)
	n, _ := s.overload.Shedding(now, candidates)
	return n == len(candidates)
}

// allowHedge takes a token for a hedge at shard i.
func (s *state[T]) allowHedge(now time.Time, i int) bool {
	if b, ok := s.reserving(now, i); ok {
		return b.AllowOptionalHedge(s.service(i))
	}
	return s.budget.AllowHedge(s.service(i))
}

// allowRetry takes a token for a retry at shard i.
func (s *state[T]) allowRetry(now time.Time, i int) bool {
	if b, ok := s.reserving(now, i); ok {
		return b.AllowOptionalRetry(s.service(i))
	}
	return s.budget.AllowRetry(s.service(i))
}

// reserving returns the budget if it is to keep tokens for other shards: an upstream of shard i shed a request a moment
// ago, and the minimum coverage can be reached without the shard.
func (s *state[T]) reserving(now time.Time, i int) (ReservingBudget, bool) {
	b, ok := s.budget.(ReservingBudget)
	if !ok || len(s.shards) < 2 || !s.shedLately(now) || s.needed() {
		return nil, false
	}
	n, _ := s.overload.Shedding(now, s.plan.Shards[i].Replicas)
	return b, n > 0
}

// failDeferred ends the deferred shards with the codes of their attempts.
func (s *state[T]) failDeferred() {
	for _, d := range s.deferred {
		s.failShard(d.res.Shard, d.res.Code)
	}
	s.deferred = nil
}

// sortByProspect sorts failed attempts so that shards whose replicas have all shed a request a moment ago come last.
func (s *state[T]) sortByProspect(now time.Time, failures []AttemptResult[T]) {
	if !s.shedLately(now) {
		return
	}
	slices.SortStableFunc(failures, func(a, b AttemptResult[T]) int {
		shedA, _ := s.shedding(now, a.Shard)
		shedB, _ := s.shedding(now, b.Shard)
		return compareBool(shedA, shedB)
	})
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Hold marks an attempt as not sent yet, because the caller waits for a slot. It is not hedged meanwhile.
func (q *Query[T]) Hold(shard, number int) {
	q.state.With(func(s *state[T]) {
		if a := s.attempt(shard, number); a != nil {
			a.waiting = true
		}
	})
}

// Place chooses the replica of an attempt that was held, and counts the attempt as sent now. It returns false if the result
// of the attempt is no longer needed. The step names the time of the next wake-up. Replicas that the shard has tried are
// chosen only if there are no others.
func (q *Query[T]) Place(now time.Time, shard, number int, replicas []string) (server string, st Step, ok bool) {
	q.state.With(func(s *state[T]) {
		a := s.attempt(shard, number)
		if a == nil || s.done || !a.pending || len(replicas) == 0 {
			return
		}
		a.Server = ""
		untried := slices.DeleteFunc(slices.Clone(replicas), func(name string) bool {
			return slices.ContainsFunc(s.shards[shard].attempts, func(o attempt) bool { return o.Server == name })
		})
		if len(untried) == 0 {
			untried = replicas
		}
		a.Server, a.waiting, a.sentAt = s.chooser.Choose(now, s.rand, untried), false, now
		server, ok = a.Server, true
		s.finishIfReady(now, &st)
	})
	return server, st, ok
}

// unsent reports whether the shard has no attempt in flight that was sent, and none that may have run.
func (sh *shard[T]) unsent() bool {
	if len(sh.attempts) == 0 {
		return true
	}
	held := sh.attempts[len(sh.attempts)-1].waiting
	return held && !slices.ContainsFunc(sh.attempts, func(a attempt) bool { return a.pending && !a.waiting })
}

// attempt returns an attempt of a shard, or nil if there is no such attempt.
func (s *state[T]) attempt(shard, number int) *attempt {
	if shard < 0 || shard >= len(s.shards) || number < 1 || number > len(s.shards[shard].attempts) {
		return nil
	}
	return &s.shards[shard].attempts[number-1]
}
