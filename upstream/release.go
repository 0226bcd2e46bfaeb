package upstream

import (
	"time"

	"pistachioshore.dev/result"
)

// release starts queued jobs, most urgent first, while the upstream may take them.
func (s *state[P]) release(now time.Time, u *server[P], step *Actions[P]) {
	for s.open(now, u) {
		e := u.queue.Peek()
		if e == nil {
			return
		}
		if u.tooLate(now, e.Deadline) {
			s.refuse(u, e, result.DeadlineExpired, step)
			continue
		}
		c := s.pick(now, u)
		if c == nil {
			break
		}
		s.start(now, u, c, s.take(u, e), step)
	}
	if u.unreachable(now) {
		s.refuseAll(u, result.Unreachable, step)
	}
}

// tooLate reports whether a job could not end before its deadline, so that its work would be wasted.
// While nothing runs, the job starts all the same: the moving average may come from a slower time, and
// only an answer corrects it.
func (u *server[P]) tooLate(now time.Time, deadline time.Time) bool {
	if !now.Before(deadline) {
		return true
	}
	return len(u.running) > 0 && deadline.Sub(now) < u.service.mean
}

// open reports whether work may start at the upstream at all.
func (s *state[P]) open(now time.Time, u *server[P]) bool {
	return u.owned && u.spec.barred == 0 && now.Sub(s.ticked) <= s.settings.FenceAfter
}

// pick returns the connection for the next job, a new one if needed, or nil if none may start.
func (s *state[P]) pick(now time.Time, u *server[P]) *connection {
	if u.total(now) >= u.limit() {
		return nil
	}
	if c := u.idle(true); c != nil {
		return c
	}
	if u.unverifiedRunning(now) >= u.spec.cold {
		return nil
	}
	if c := u.idle(false); c != nil {
		return c
	}
	if len(u.conns) >= u.spec.connections || now.Before(u.retryAt) {
		return nil
	}
	return s.connect()
}

func (s *state[P]) connect() *connection {
	c := &connection{id: s.nextConn}
	s.nextConn++
	return c
}

func (s *state[P]) start(now time.Time, u *server[P], c *connection, j Job[P], step *Actions[P]) {
	_, exists := u.conns[c.id]
	c.busy = true
	c.used = now
	u.conns[c.id] = c
	st := StartedJob[P]{Job: j, Upstream: u.name, Address: u.spec.address, Conn: c.id, Connect: !exists}
	u.running[j.Key] = &attempt[P]{start: st, conn: c}
	s.jobs[j.Key] = u
	step.Start = append(step.Start, st)
}
