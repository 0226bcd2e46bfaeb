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
	used        time.Time
}

// verified reports whether a response on the connection has shown the current incarnation.
func (u *server[P]) verified(c *connection) bool {
	return c.incarnation != "" && c.incarnation == u.incarnation
}

func (u *server[P]) verifiedConns() int {
	n := 0
	for _, c := range u.conns {
		if u.verified(c) {
			n++
		}
	}
	return n
}

// idle returns the most recently used idle connection, among the verified or the unverified ones as
// asked. Preferring recently used connections lets surplus ones expire.
func (u *server[P]) idle(verified bool) *connection {
	var best *connection
	for _, c := range u.conns {
		if c.busy || c.closing || u.verified(c) != verified {
			continue
		}
		if best == nil || c.used.After(best.used) || (c.used.Equal(best.used) && c.id > best.id) {
			best = c
		}
	}
	return best
}

// closeIdle closes the idle connections for which drop returns true.
func (u *server[P]) closeIdle(step *Actions[P], drop func(c *connection) bool) {
	for _, id := range slices.Sorted(maps.Keys(u.conns)) {
		if c := u.conns[id]; !c.busy && drop(c) {
			u.close(c, step)
		}
	}
}

// retire closes all connections: idle ones now, and busy ones when their call ends.
func (u *server[P]) retire(step *Actions[P]) {
	for _, c := range u.conns {
		c.closing = true
	}
	u.closeIdle(step, func(*connection) bool { return true })
}

// trim closes idle connections above the limit, unverified ones first.
func (u *server[P]) trim(step *Actions[P]) {
	for len(u.conns) > u.spec.connections {
		c := u.idle(false)
		if c == nil {
			c = u.idle(true)
		}
		if c == nil {
			return
		}
		u.close(c, step)
	}
}

// close removes a connection and adds it to the connections for the caller to close.
func (u *server[P]) close(c *connection, step *Actions[P]) {
	delete(u.conns, c.id)
	step.Close = append(step.Close, ConnRef{Upstream: u.name, Conn: c.id})
}

// settle makes a connection idle after its call has ended, or closes it if it must not carry another.
func (u *server[P]) settle(now time.Time, c *connection, step *Actions[P]) {
	c.busy = false
	c.used = now
	if c.closing || !u.owned || u.spec.barred != 0 {
		u.close(c, step)
		return
	}
	u.trim(step)
}

// connectionLost gives up a connection that the remote end closed and treats the upstream as cold.
func (s *state[P]) connectionLost(now time.Time, ref ConnRef, step *Actions[P]) {
	u, ok := s.servers[ref.Upstream]
	if !ok {
		return
	}
	c, ok := u.conns[ref.Conn]
	if !ok {
		return
	}
	c.closing = true
	u.warm.reset()
	if !c.busy {
		delete(u.conns, c.id)
	}
	s.release(now, u, step)
}
