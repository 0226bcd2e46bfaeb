package upstream

import (
	"time"

	"pistachioshore.dev/result"
)

// connectBackoff is the time after a refused connection before the next one is tried. It limits the
// attempts at a stopped upstream to five per second, and finds a returned upstream within 200 ms.
const connectBackoff = 200 * time.Millisecond

// finish records the outcome of a running job and reports whether it is a suspected crash.
func (s *state[P]) finish(now time.Time, o Outcome, actions *Actions[P]) (suspectedCrash bool) {
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
		s.callEnded(now, u, a, o, actions)
	} else {
		u.connectFailed(now, a.conn, o.Code)
	}
	s.releaseJobs(now, u, actions)
	return o.Connected && o.Code == result.ConnectionLost
}

// connectFailed records that a connection could not be opened, in which case nothing was sent.
func (u *server[P]) connectFailed(now time.Time, c *connection, code result.Code) {
	delete(u.conns, c.id)
	if code == result.Cancelled {
		return
	}
	u.warmup.reset()
	u.connectRetryAt = now.Add(connectBackoff)
}

// unreachable reports whether no usable connection is left and none may be opened for now.
func (u *server[P]) unreachable(now time.Time) bool {
	if !now.Before(u.connectRetryAt) {
		return false
	}
	for _, c := range u.conns {
		if !c.closing {
			return false
		}
	}
	return true
}

// callEnded records the outcome of a call on an open connection.
func (s *state[P]) callEnded(now time.Time, u *server[P], a *attempt[P], o Outcome, actions *Actions[P]) {
	c := a.conn
	u.observeIncarnation(c, o.Incarnation, s.nextConn, actions)
	switch {
	case o.Code.HasAnswer():
		u.serviceTime.add(o.Elapsed)
		if u.isVerified(c) {
			u.warmup.recordAnswer(u.spec)
		}
	case o.Code == result.UpstreamShed:
		u.warmup.recordShed()
	case o.Code == result.Unreachable:
		c.closing = true
		u.warmup.reset()
	case mayStillRun(o):
		c.closing = true
		u.addUnknownWork(now, unknownWork{count: 1, until: a.started.Job.Deadline.Add(s.settings.DeadlineMargin), incarnation: c.incarnation})
	case o.Incarnation == "" && o.Code == result.Cancelled:
		c.closing = true // the call was aborted before its response
	}
	if o.Code == result.ConnectionLost {
		u.warmup.reset()
	}
	u.endCall(now, c, actions)
}

// mayStillRun reports whether the attempt may still be running at the upstream after its outcome. A
// failure reported by the upstream itself means that the attempt has ended.
func mayStillRun(o Outcome) bool {
	if o.Code == result.UpstreamFailed && o.Incarnation != "" {
		return false
	}
	return o.Code.Effect() == result.MayHaveRun
}
