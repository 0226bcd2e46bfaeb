package upstream

import (
	"time"

	"pistachioshore.dev/result"
)

// AcquireOwnership makes this VM the owner of an upstream. The zero Handover stands for an upstream
// without known state, which starts cold.
//
// A handover for an upstream that is already owned arrives too late for its warm-up state; only its
// running work is added.
func (t *Table[P]) AcquireOwnership(now time.Time, upstream string, h Handover) Actions[P] {
	return t.collectActions(func(s *state[P], actions *Actions[P]) { s.acquireOwnership(now, upstream, h, actions) })
}

// ReleaseOwnership ends the ownership of an upstream and returns the handover for the next owner VM.
// Queued jobs are refused with OwnerMoved; running jobs continue.
//
// It may be called again after the release to get a handover with the work that is still running. If
// work is running on an unverified connection, the handover makes the next owner VM start cold,
// because the upstream may have restarted.
func (t *Table[P]) ReleaseOwnership(now time.Time, upstream string) (Handover, Actions[P]) {
	var h Handover
	actions := t.collectActions(func(s *state[P], actions *Actions[P]) {
		u, ok := s.servers[upstream]
		if !ok {
			return
		}
		s.releaseOwnership(u, actions)
		h = s.handover(now, u)
	})
	return h, actions
}

// DropAllOwnership ends the ownership of all upstreams without a handover, after a pause of the VM.
func (t *Table[P]) DropAllOwnership(time.Time) Actions[P] {
	return t.collectActions(func(s *state[P], actions *Actions[P]) {
		for _, u := range s.sortedServers() {
			s.releaseOwnership(u, actions)
			u.resetIncarnation()
		}
	})
}

func (s *state[P]) acquireOwnership(now time.Time, name string, h Handover, actions *Actions[P]) {
	u, ok := s.servers[name]
	if !ok {
		u = newServer[P](name, newSpec(s.cfg, name, s.vmsInZone))
		s.servers[name] = u
	}
	if u.owned {
		u.addUnknownWork(now, unknownWork{count: h.Running, until: h.RunningUntil})
		return
	}
	u.owned = true
	u.resetIncarnation()
	if h.Limit > 0 && h.Incarnation != "" {
		u.incarnation = h.Incarnation
		u.firstNewConn = s.nextConn
		u.warmup.resume(u.spec, h.Limit, h.AnswersAtLimit)
	}
	u.addUnknownWork(now, unknownWork{count: h.Running, until: h.RunningUntil, incarnation: u.incarnation})
	s.releaseJobs(now, u, actions)
}

// releaseOwnership refuses the queued jobs of an upstream and closes its connections.
func (s *state[P]) releaseOwnership(u *server[P], actions *Actions[P]) {
	u.owned = false
	s.refuseAll(u, result.OwnerMoved, actions)
	u.closeAll(actions)
}

// handover returns the state of an upstream for the next owner VM.
func (s *state[P]) handover(now time.Time, u *server[P]) Handover {
	h := Handover{
		Running:      u.runningTotal(now),
		RunningUntil: u.runningUntil(now, s.settings.DeadlineMargin),
	}
	if u.unverifiedRunning(now) == 0 && u.incarnation != "" {
		h.Incarnation = u.incarnation
		h.Limit = u.limit()
		h.AnswersAtLimit = u.warmup.answers
	}
	return h
}
