package upstream

import (
	"time"

	"pistachioshore.dev/result"
)

// release starts queued jobs, most urgent first, as long as the upstream has capacity for them.
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

// tooLate reports whether a job cannot finish before its deadline, so that running it would waste a
// slot. If no job is running, it allows the job anyway: the moving average may stem from a period of
// slow answers, and only a new answer can correct it.
func (u *server[P]) tooLate(now time.Time, deadline time.Time) bool {
	if !now.Before(deadline) {
		return true
	}
	return len(u.running) > 0 && deadline.Sub(now) < u.service.mean
}

// open reports whether jobs may start at the upstream at all.
func (s *state[P]) open(now time.Time, u *server[P]) bool {
	return u.owned && u.spec.barred == 0 && now.Sub(s.ticked) <= s.settings.FenceAfter
}

// pick returns the connection for the next job, opening a new one if needed, or nil if no job may
// start.
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

// connect returns a new connection with the next ID.
func (s *state[P]) connect() *connection {
	c := &connection{id: s.nextConn}
	s.nextConn++
	return c
}

// start marks the job as running on the connection and adds it to the jobs for the caller to start.
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
