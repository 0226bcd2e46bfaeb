package gather

import (
	"slices"
	"time"
)

func (s *state[T]) start(now time.Time) Step {
	var st Step
	for i, p := range s.plan.Shards {
		if len(p.Replicas) == 0 {
			s.failShard(i, p.NoReplicaCode)
		}
	}
	if s.plan.Canary {
		s.startCanary(now, &st)
	} else {
		s.sendUnresolved(now, &st)
	}
	s.finishIfReady(now, &st)
	return st
}

// startCanary sends the canary request to the unresolved shard with the fewest attempts.
func (s *state[T]) startCanary(now time.Time, st *Step) {
	s.canaryShard = -1
	for i := range s.shards {
		if s.shards[i].resolved() {
			continue
		}
		if s.canaryShard < 0 || len(s.shards[i].attempts) < len(s.shards[s.canaryShard].attempts) {
			s.canaryShard = i
		}
	}
	if s.canaryShard >= 0 {
		s.send(now, s.canaryShard, false, st)
	}
}

// sendUnresolved sends an attempt for each shard that has neither a final result nor an attempt in flight.
func (s *state[T]) sendUnresolved(now time.Time, st *Step) {
	for i := range s.shards {
		if !s.shards[i].resolved() && !s.shards[i].hasPending() {
			s.send(now, i, false, st)
			s.budget.Credit(s.service(i), 1)
		}
	}
}

// send adds an attempt at shard i to the step, at a replica that the chooser selects.
func (s *state[T]) send(now time.Time, i int, hedge bool, st *Step) {
	sh := &s.shards[i]
	a := Attempt{
		Shard:  i,
		Number: len(sh.attempts) + 1,
		Server: s.chooser.Choose(now, s.rand, s.candidates(i)),
		Hedge:  hedge,
	}
	sh.attempts = append(sh.attempts, attempt{Attempt: a, sentAt: now, pending: true})
	st.Send = append(st.Send, a)
}

// service returns the service of a shard, for which the budget is accounted.
func (s *state[T]) service(i int) string {
	return s.plan.Shards[i].Shard.Service
}

// candidates returns the replicas that the shard has not tried yet, or all replicas if it has tried each.
func (s *state[T]) candidates(i int) []string {
	if untried := s.untried(i); len(untried) > 0 {
		return untried
	}
	return s.plan.Shards[i].Replicas
}

// untried returns the replicas that the shard has not tried yet.
func (s *state[T]) untried(i int) []string {
	return slices.DeleteFunc(slices.Clone(s.plan.Shards[i].Replicas), func(name string) bool {
		return slices.ContainsFunc(s.shards[i].attempts, func(a attempt) bool { return a.Server == name })
	})
}

// sendHedges sends a hedge for each shard whose only attempt in flight is late. A second canary request needs the
// permission of the quarantine coordinator, because it puts a second upstream at risk.
func (s *state[T]) sendHedges(now time.Time, st *Step) {
	if s.plan.NotIdempotent || s.plan.RetriesHeld {
		return
	}
	delays := s.newHedgeDelays()
	for i := range s.shards {
		sh := &s.shards[i]
		late, ok := s.lateAttempt(now, i, delays)
		if !ok || len(sh.attempts) >= s.plan.MaxAttempts || len(s.plan.Shards[i].Replicas) < 2 {
			continue
		}
		if s.chooser.HasQueue(late.Server) || s.skipHedge(now, i) || !s.allowHedge(now, i) {
			continue
		}
		if s.canaryShard == i {
			s.awaitingVerdict = true
			st.NeedsVerdict = true
			continue
		}
		s.send(now, i, true, st)
	}
}

// hedgeDelays remembers the hedge delay of each group during one step, because the estimate is the same for all shards of
// a group.
type hedgeDelays struct {
	chooser Chooser
	known   map[string]time.Duration
}

func (s *state[T]) newHedgeDelays() hedgeDelays {
	return hedgeDelays{chooser: s.chooser, known: make(map[string]time.Duration, 1)}
}

// of returns the hedge delay of a group.
func (d hedgeDelays) of(group string) time.Duration {
	delay, ok := d.known[group]
	if !ok {
		delay = d.chooser.HedgeDelay(group)
		d.known[group] = delay
	}
	return delay
}

// lateAttempt returns the shard's only attempt in flight if it exceeds the hedge delay and no hedge was sent.
func (s *state[T]) lateAttempt(now time.Time, i int, delays hedgeDelays) (attempt, bool) {
	if s.awaitingVerdict || (s.canaryShard >= 0 && s.canaryShard != i) {
		return attempt{}, false
	}
	a, ok := s.shards[i].unhedged()
	if !ok {
		return attempt{}, false
	}
	return a, !now.Before(a.sentAt.Add(delays.of(s.plan.Shards[i].Shard.Group)))
}

// unhedged returns the shard's only attempt in flight, the first one or a retry, if no hedge was sent.
func (sh *shard[T]) unhedged() (attempt, bool) {
	var only attempt
	pending := 0
	for _, a := range sh.attempts {
		if a.Hedge {
			return attempt{}, false
		}
		if a.pending && a.waiting {
			return attempt{}, false
		}
		if a.pending {
			only = a
			pending++
		}
	}
	return only, pending == 1 && !sh.resolved()
}

// nextHedgeTime returns the earliest time at which an attempt exceeds its hedge delay, or end if that is earlier.
func (s *state[T]) nextHedgeTime(now, end time.Time) time.Time {
	next := end
	delays := s.newHedgeDelays()
	for i := range s.shards {
		a, ok := s.shards[i].unhedged()
		if !ok || len(s.shards[i].attempts) >= s.plan.MaxAttempts {
			continue
		}
		if due := a.sentAt.Add(delays.of(s.plan.Shards[i].Shard.Group)); due.After(now) {
			next = earlier(next, due)
		}
	}
	return next
}
