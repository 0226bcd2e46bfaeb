package upstream

import (
	"time"

	"pistachioshore.dev/result"
)

// connectBackoff is the time after a refused connection in which no other is tried. It bounds the
// attempts at a stopped upstream to five a second, and a returned one is found within that time.
const connectBackoff = 200 * time.Millisecond

// finish records an outcome and reports whether it is a suspected crash.
func (s *state[P]) finish(now time.Time, o Outcome, step *Actions[P]) (crashed bool) {
	u, ok := s.servers[o.Upstream]
	if !ok {
		return false
	}
	a, ok := u.running[o.Key]
	if !ok || a.conn.id != o.Conn {
		return false
	}
	delete(u.running, o.Key)
	delete(s.jobs, o.Key)
	if o.Connected {
		s.called(now, u, a, o, step)
	} else {
		u.notConnected(now, a.conn, o.Code)
	}
	s.release(now, u, step)
	return o.Connected && o.Code == result.ConnectionLost
}

// notConnected records that a connection could not be opened, so that nothing was sent.
func (u *server[P]) notConnected(now time.Time, c *connection, code result.Code) {
	delete(u.conns, c.id)
	if code == result.Cancelled {
		return
	}
	u.warm.reset()
	u.retryAt = now.Add(connectBackoff)
}

// unreachable reports whether no usable connection is left and none may be opened for now.
func (u *server[P]) unreachable(now time.Time) bool {
	if !now.Before(u.retryAt) {
		return false
	}
	for _, c := range u.conns {
		if !c.closing {
			return false
		}
	}
	return true
}

// called records how a call on an open connection ended.
func (s *state[P]) called(now time.Time, u *server[P], a *attempt[P], o Outcome, step *Actions[P]) {
	c := a.conn
	u.observe(c, o.Incarnation, s.nextConn, step)
	switch {
	case o.Code.HasAnswer():
		u.service.add(o.Elapsed)
		if u.verified(c) {
			u.warm.answered(u.spec)
		}
	case o.Code == result.UpstreamShed:
		u.warm.shed()
	case o.Code == result.Unreachable:
		c.closing = true
		u.warm.reset()
	case mayRunOn(o):
		c.closing = true
		u.keep(now, unknown{count: 1, until: a.start.Job.Deadline.Add(s.settings.DeadlineMargin), incarnation: c.incarnation})
	case o.Incarnation == "" && o.Code == result.Cancelled:
		c.closing = true // the call was given up half-way
	}
	if o.Code == result.ConnectionLost {
		u.warm.reset()
	}
	u.settle(now, c, step)
}

// mayRunOn reports whether the attempt may run on after its outcome; a failure that the upstream
// itself reported has ended.
func mayRunOn(o Outcome) bool {
	if o.Code == result.UpstreamFailed && o.Incarnation != "" {
		return false
	}
	return o.Code.Effect() == result.MayHaveRun
}
