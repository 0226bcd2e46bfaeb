package gather

import (
	"math/rand/v2"
	"slices"
	"time"

	"pistachioshore.dev/record"
	"pistachioshore.dev/result"
	"pistachioshore.dev/table"
)

// Query is the state of one query at the VM that accepted it; it is safe for concurrent use.
type Query struct {
	state *table.Guarded[state]
}

type state struct {
	plan    Plan
	choose  Chooser
	budget  Budget
	rand    *rand.Rand
	shards  []shard
	open    int // shards without an outcome
	covered int
	stale   int  // parts dropped for another snapshot
	asking  bool // a lost canary request waits for Resume
	canary  int  // index of the shard of the canary request, -1 when none is under way
	reached time.Time
	done    bool
}

type shard struct {
	attempts []attempt
	part     *Part
	failed   result.Code
	mayRun   result.Code // outcome of an attempt that may have run
}

// ended reports whether the shard has an outcome.
func (sh *shard) ended() bool {
	return sh.part != nil || sh.failed != 0
}

// pending reports whether an attempt of the shard is under way.
func (sh *shard) pending() bool {
	return slices.ContainsFunc(sh.attempts, func(a attempt) bool { return a.pending })
}

type attempt struct {
	Attempt
	sent    time.Time
	pending bool
}

// New returns a query that has not sent anything yet.
func New(plan Plan, choose Chooser, budget Budget, r *rand.Rand) *Query {
	s := state{plan: plan, choose: choose, budget: budget, rand: r, shards: make([]shard, len(plan.Shards)), canary: -1}
	s.open = len(plan.Shards)
	return &Query{state: table.NewGuarded(table.RankGather, s)}
}

// Start returns the first sub-requests: one for each shard, or the canary request alone.
func (q *Query) Start(now time.Time) Step {
	return table.Read(q.state, func(s *state) Step { return s.start(now) })
}

// Part takes the outcome of an attempt.
func (q *Query) Part(now time.Time, p Part) Step {
	return table.Read(q.state, func(s *state) Step { return s.take(now, p) })
}

// Resume goes on after a lost or late canary request: with another canary request, with the full fan-out
// if the fingerprint has proved good meanwhile, or not at all if refused is a code.
func (q *Query) Resume(now time.Time, canary bool, refused result.Code) Step {
	return table.Read(q.state, func(s *state) Step {
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
func (q *Query) Wake(now time.Time) Step {
	return table.Read(q.state, func(s *state) Step {
		if s.done {
			return Step{}
		}
		var st Step
		s.hedge(now, &st)
		s.settle(now, &st)
		return st
	})
}

// Answer returns the answer as it stands; it is final once a step was Done.
func (q *Query) Answer() Answer {
	return table.Read(q.state, (*state).answer)
}

// StaleParts returns how many parts of another snapshot were dropped.
func (q *Query) StaleParts() int {
	return table.Read(q.state, func(s *state) int { return s.stale })
}

func (s *state) start(now time.Time) Step {
	var st Step
	for i, p := range s.plan.Shards {
		if len(p.Replicas) == 0 {
			s.fail(i, p.Refused)
		}
	}
	if s.plan.Canary {
		s.startCanary(now, &st)
	} else {
		s.sendOpen(now, &st)
	}
	s.settle(now, &st)
	return st
}

// startCanary runs the first open shard that has the fewest attempts alone.
func (s *state) startCanary(now time.Time, st *Step) {
	s.canary = -1
	for i := range s.shards {
		if s.shards[i].ended() {
			continue
		}
		if s.canary < 0 || len(s.shards[i].attempts) < len(s.shards[s.canary].attempts) {
			s.canary = i
		}
	}
	if s.canary >= 0 {
		s.send(now, s.canary, false, st)
	}
}

// sendOpen sends an attempt for each shard that has neither an outcome nor a pending attempt.
func (s *state) sendOpen(now time.Time, st *Step) {
	n := 0
	for i := range s.shards {
		if !s.shards[i].ended() && !s.shards[i].pending() {
			s.send(now, i, false, st)
			n++
		}
	}
	s.budget.Earn(n)
}

func (s *state) send(now time.Time, i int, hedge bool, st *Step) {
	sh := &s.shards[i]
	a := Attempt{
		Shard:  i,
		Number: len(sh.attempts) + 1,
		Server: s.choose.Choose(now, s.rand, s.candidates(i)),
		Hedge:  hedge,
	}
	sh.attempts = append(sh.attempts, attempt{Attempt: a, sent: now, pending: true})
	st.Send = append(st.Send, a)
}

// candidates returns the replicas that the shard has not tried yet, or all of them.
func (s *state) candidates(i int) []string {
	all := s.plan.Shards[i].Replicas
	fresh := slices.DeleteFunc(slices.Clone(all), func(name string) bool {
		return slices.ContainsFunc(s.shards[i].attempts, func(a attempt) bool { return a.Server == name })
	})
	if len(fresh) > 0 {
		return fresh
	}
	return all
}

func (s *state) take(now time.Time, p Part) Step {
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
	default:
		s.retry(now, p, &st)
	}
	s.settle(now, &st)
	return st
}

func (s *state) cover(now time.Time, p Part, st *Step) {
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

func (s *state) retry(now time.Time, p Part, st *Step) {
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

// canaryFailed moves a canary request that was not run to another shard. After one that may have
// run, the query waits for leave to go on.
func (s *state) canaryFailed(now time.Time, p Part, st *Step) {
	switch {
	case p.Code == result.Quarantined:
		s.failAll(p.Code)
	case p.Code.Effect() == result.NotRun:
		s.fail(p.Shard, p.Code)
		s.startCanary(now, st)
	default:
		s.canary = -1
		s.asking = true
		st.AskAgain = true
	}
}

// mayRetry reports whether another attempt is worth its cost. A quarantined fingerprint is
// refused everywhere, and a canary request that may have harmed an upstream is never repeated here.
func (s *state) mayRetry(now time.Time, p Part) bool {
	if p.Code == result.Quarantined || len(s.shards[p.Shard].attempts) >= MaxAttempts {
		return false
	}
	if s.canary == p.Shard && p.Code.Effect() != result.NotRun {
		return false
	}
	typical := s.choose.Typical(s.plan.Shards[p.Shard].Shard.Group)
	if now.Add(typical).After(s.plan.Deadline) {
		return false
	}
	// These refusals cost no upstream work, so they are outside the retry budget.
	switch p.Code {
	case result.OwnerMoved, result.ZoneOut, result.UpstreamLeaving:
		return true
	}
	return s.budget.AllowRetry()
}

// fail gives a shard up. Its reason says "not run" only if that holds for every attempt.
func (s *state) fail(i int, code result.Code) {
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

// failAll ends every shard that is still open.
func (s *state) failAll(code result.Code) {
	for i := range s.shards {
		s.fail(i, code)
	}
}

// hedge sends a second attempt for each shard whose only pending attempt is late. A second canary
// request needs the coordinator's leave, because it is a second upstream at risk.
func (s *state) hedge(now time.Time, st *Step) {
	for i := range s.shards {
		sh := &s.shards[i]
		late, ok := s.lateAttempt(now, i)
		if !ok || len(sh.attempts) >= MaxAttempts || len(s.plan.Shards[i].Replicas) < 2 {
			continue
		}
		if s.choose.Queued(late.Server) || !s.budget.AllowHedge() {
			continue
		}
		if s.canary == i {
			s.asking = true
			st.AskAgain = true
			continue
		}
		s.send(now, i, true, st)
	}
}

// lateAttempt returns the shard's only pending attempt if it is beyond the hedge delay and no hedge was sent.
func (s *state) lateAttempt(now time.Time, i int) (attempt, bool) {
	sh := &s.shards[i]
	if sh.ended() || s.asking || (s.canary >= 0 && s.canary != i) {
		return attempt{}, false
	}
	var pending []attempt
	for _, a := range sh.attempts {
		if a.Hedge {
			return attempt{}, false
		}
		if a.pending {
			pending = append(pending, a)
		}
	}
	if len(pending) != 1 {
		return attempt{}, false
	}
	delay := s.choose.HedgeDelay(s.plan.Shards[i].Shard.Group)
	return pending[0], !now.Before(pending[0].sent.Add(delay))
}

// settle decides whether the answer is ready and otherwise when to look again.
func (s *state) settle(now time.Time, st *Step) {
	n := len(s.shards)
	if s.reached.IsZero() && n > 0 && float64(s.covered) >= s.plan.MinimumCoverage*float64(n) && s.covered > 0 {
		s.reached = now
	}
	end := s.plan.Deadline
	if !s.reached.IsZero() {
		end = earlier(end, s.reached.Add(s.plan.StragglerWait))
	}
	if s.open == 0 || !now.Before(end) {
		s.finish(now, st)
		return
	}
	st.WakeAt = earlier(end, s.nextHedge(now, end))
}

func (s *state) finish(now time.Time, st *Step) {
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

// worthRestart reports whether shards lost to a gone snapshot, and nothing else, keep the answer
// below its minimum while at least as much time is left as has to be kept for a second try.
func (s *state) worthRestart(now time.Time) bool {
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

func (s *state) timeLeft(now time.Time) bool {
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

// nextHedge returns the earliest time at which a pending attempt becomes late.
func (s *state) nextHedge(now, end time.Time) time.Time {
	next := end
	for i := range s.shards {
		sh := &s.shards[i]
		if sh.ended() || len(sh.attempts) != 1 {
			continue
		}
		due := sh.attempts[0].sent.Add(s.choose.HedgeDelay(s.plan.Shards[i].Shard.Group))
		if due.After(now) {
			next = earlier(next, due)
		}
	}
	return next
}

func (s *state) answer() Answer {
	a := Answer{Code: result.Complete, Snapshot: s.plan.Snapshot, Revision: s.plan.Revision}
	var parts [][]record.Record
	for i := range s.shards {
		sh := &s.shards[i]
		if sh.part == nil {
			code := sh.failed
			if code == 0 {
				code = result.Late
			}
			a.Missing = append(a.Missing, Missing{Shard: s.plan.Shards[i].Shard, Code: code})
			continue
		}
		a.Covered = append(a.Covered, s.plan.Shards[i].Shard.Name)
		a.Matched += sh.part.Matched
		parts = append(parts, sh.part.Records)
	}
	if len(a.Missing) > 0 {
		a.Code = result.Partial
	}
	a.Records = record.Merge(parts, s.plan.Limit)
	return a
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
