package upstream

import (
	"maps"
	"slices"
	"time"
)

// connection is a connection to an upstream. It carries one call at a time.
type connection struct {
	id          ConnID
	incarnation string // incarnation shown by a response on it, empty before the first one
	busy        bool
	closing     bool // must not carry another call
	lastUsed    time.Time
}

// isVerified reports whether a response on the connection has shown the current incarnation.
func (u *server[P]) isVerified(c *connection) bool {
	return c.incarnation != "" && c.incarnation == u.incarnation
}

func (u *server[P]) verifiedConns() int {
	n := 0
	for _, c := range u.conns {
		if u.isVerified(c) {
			n++
		}
	}
	return n
}

// idleConn returns the most recently used idle connection that is verified or not, as given, or nil if
// there is none. Preferring recently used connections lets surplus ones expire.
func (u *server[P]) idleConn(verified bool) *connection {
	var best *connection
	for _, c := range u.conns {
		if c.busy || c.closing || u.isVerified(c) != verified {
			continue
		}
		if best == nil || c.lastUsed.After(best.lastUsed) || (c.lastUsed.Equal(best.lastUsed) && c.id > best.id) {
			best = c
		}
	}
	return best
}

// closeIdle closes the idle connections for which drop returns true.
func (u *server[P]) closeIdle(actions *Actions[P], drop func(c *connection) bool) {
	for _, id := range slices.Sorted(maps.Keys(u.conns)) {
		if c := u.conns[id]; !c.busy && drop(c) {
			u.closeConn(c, actions)
		}
	}
}

// closeAll closes all connections: idle ones now, and busy ones when their call ends.
func (u *server[P]) closeAll(actions *Actions[P]) {
	for _, c := range u.conns {
		c.closing = true
	}
	u.closeIdle(actions, func(*connection) bool { return true })
}

// closeExcess closes idle connections above the limit, unverified ones first.
func (u *server[P]) closeExcess(actions *Actions[P]) {
	for len(u.conns) > u.spec.maxConnections {
		c := u.idleConn(false)
		if c == nil {
			c = u.idleConn(true)
		}
		if c == nil {
			return
		}
		u.closeConn(c, actions)
	}
}

// closeConn removes a connection and adds it to the connections for the caller to close.
func (u *server[P]) closeConn(c *connection, actions *Actions[P]) {
	delete(u.conns, c.id)
	actions.Close = append(actions.Close, ConnRef{Upstream: u.name, Conn: c.id})
}

// endCall makes a connection idle after its call has ended, or closes it if it must not carry another.
func (u *server[P]) endCall(now time.Time, c *connection, actions *Actions[P]) {
	c.busy = false
	c.lastUsed = now
	if c.closing || !u.owned || u.spec.refusalCode != 0 {
		u.closeConn(c, actions)
		return
	}
	u.closeExcess(actions)
}

// connectionLost drops a connection that the remote end closed and treats the upstream as cold.
func (s *state[P]) connectionLost(now time.Time, ref ConnRef, actions *Actions[P]) {
	u, ok := s.servers[ref.Upstream]
	if !ok {
		return
	}
	c, ok := u.conns[ref.Conn]
	if !ok {
		return
	}
	c.closing = true
	u.warmup.reset()
	if !c.busy {
		delete(u.conns, c.id)
	}
	s.releaseJobs(now, u, actions)
}
