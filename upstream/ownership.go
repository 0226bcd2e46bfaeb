package upstream

import (
	"time"

	"pistachioshore.dev/result"
)

// AcquireOwnership makes the VM the owner VM of an upstream; the zero Handover means cold and unknown.
//
// A handover for an upstream that is owned already comes too late for its warm-up state and only
// adds its running work.
func (t *Table[P]) AcquireOwnership(now time.Time, upstream string, h Handover) Actions[P] {
	return t.step(func(s *state[P], step *Actions[P]) { s.adopt(now, upstream, h, step) })
}

// ReleaseOwnership ends ownership of an upstream: queued work is refused as moved, running work goes on.
//
// Called again for an upstream that is not owned, it returns the handover with the work that
// still runs. A handover with running work on an unverified connection says that the next owner
// VM starts cold, because that work may be at a restarted upstream.
func (t *Table[P]) ReleaseOwnership(now time.Time, upstream string) (Handover, Actions[P]) {
	var h Handover
	step := t.step(func(s *state[P], step *Actions[P]) {
		u, ok := s.servers[upstream]
		if !ok {
			return
		}
		s.disown(u, step)
		h = s.handover(now, u)
	})
	return h, step
}

// DropAllOwnership ends ownership of all upstreams without a handover, after a pause of the VM.
func (t *Table[P]) DropAllOwnership(time.Time) Actions[P] {
	return t.step(func(s *state[P], step *Actions[P]) {
		for _, u := range s.sorted() {
			s.disown(u, step)
			u.forget()
		}
	})
}

func (s *state[P]) adopt(now time.Time, name string, h Handover, step *Actions[P]) {
	u, ok := s.servers[name]
	if !ok {
		u = newServer[P](name, newSpec(s.cfg, name, s.vmsInZone))
		s.servers[name] = u
	}
	if u.owned {
		u.keep(now, unknown{count: h.Running, until: h.RunningUntil})
		return
	}
	u.owned = true
	u.forget()
	if h.Limit > 0 && h.Incarnation != "" {
		u.incarnation = h.Incarnation
		u.since = s.nextConn
		u.warm.resume(u.spec, h.Limit, h.AnswersAtLimit)
	}
	u.keep(now, unknown{count: h.Running, until: h.RunningUntil, incarnation: u.incarnation})
	s.release(now, u, step)
}

func (s *state[P]) disown(u *server[P], step *Actions[P]) {
	u.owned = false
	s.refuseAll(u, result.OwnerMoved, step)
	u.retire(step)
}

func (s *state[P]) handover(now time.Time, u *server[P]) Handover {
	h := Handover{
		Running:      u.total(now),
		RunningUntil: u.runningUntil(now, s.settings.DeadlineMargin),
	}
	if u.unverifiedRunning(now) == 0 && u.incarnation != "" {
		h.Incarnation = u.incarnation
		h.Limit = u.limit()
		h.AnswersAtLimit = u.warm.finished
	}
	return h
}
