package upstream

import (
	"time"

	"pistachioshore.dev/result"
)

// releaseJobs starts queued jobs, most urgent first, as long as the upstream has capacity for them.
func (s *state[P]) releaseJobs(now time.Time, u *server[P], actions *Actions[P]) {
	for s.mayStart(now, u) {
		e := u.queue.Peek()
		if e == nil {
			return
		}
		if u.tooLate(now, e.Deadline) {
			s.refuse(u, e, result.DeadlineExpired, actions)
			continue
		}
		c := s.pickConn(now, u)
		if c == nil {
			break
		}
		s.startJob(now, u, c, s.dequeue(u, e), actions)
	}
	if u.unreachable(now) {
		s.refuseAll(u, result.Unreachable, actions)
	}
}

// tooLate reports whether a job cannot finish before its deadline, so that running it would waste a
// slot. If no job is running, it allows the job anyway: the moving average may stem from a period of
// slow answers, and only a new answer can correct it.
func (u *server[P]) tooLate(now time.Time, deadline time.Time) bool {
	if !now.Before(deadline) {
		return true
	}
	return len(u.running) > 0 && deadline.Sub(now) < u.serviceTime.mean
}

// mayStart reports whether jobs may start at the upstream at all.
func (s *state[P]) mayStart(now time.Time, u *server[P]) bool {
	return u.owned && u.spec.refusalCode == 0 && now.Sub(s.lastTick) <= s.settings.FenceAfter
}

// pickConn returns the connection for the next job, opening a new one if needed, or nil if no job may
// start.
func (s *state[P]) pickConn(now time.Time, u *server[P]) *connection {
	if u.runningTotal(now) >= u.limit() {
		return nil
	}
	if c := u.idleConn(true); c != nil {
		return c
	}
	if u.unverifiedRunning(now) >= u.spec.coldLimit {
		return nil
	}
	if c := u.idleConn(false); c != nil {
		return c
	}
	if len(u.conns) >= u.spec.maxConnections || now.Before(u.connectRetryAt) {
		return nil
	}
	return s.newConn()
}

// newConn returns a new connection with the next ID.
func (s *state[P]) newConn() *connection {
	c := &connection{id: s.nextConn}
	s.nextConn++
	return c
}

// startJob marks the job as running on the connection and adds it to the jobs for the caller to start.
func (s *state[P]) startJob(now time.Time, u *server[P], c *connection, j Job[P], actions *Actions[P]) {
	_, exists := u.conns[c.id]
	c.busy = true
	c.lastUsed = now
	u.conns[c.id] = c
	started := StartedJob[P]{Job: j, Upstream: u.name, Address: u.spec.address, Conn: c.id, Connect: !exists}
	u.running[j.Key] = &attempt[P]{started: started, conn: c}
	s.jobs[j.Key] = u
	actions.Start = append(actions.Start, started)
}
