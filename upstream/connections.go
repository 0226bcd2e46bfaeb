package upstream

import (
	"maps"
	"slices"
	"time"
)

// connection is one connection to an upstream; it carries one call at a time.
type connection struct {
	id          ConnID
	incarnation string // shown by a response on it, empty before
	busy        bool
	closing     bool // carries no further call
	used        time.Time
}

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

// idle returns the most recently used idle connection that is verified or not, as asked, so that
// surplus connections age and are closed.
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

// retire closes every connection: idle ones now, busy ones when their call has ended.
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

func (u *server[P]) close(c *connection, step *Actions[P]) {
	delete(u.conns, c.id)
	step.Close = append(step.Close, ConnRef{Upstream: u.name, Conn: c.id})
}

// settle makes a connection whose call has ended idle, or closes it if it must carry no other.
func (u *server[P]) settle(now time.Time, c *connection, step *Actions[P]) {
	c.busy = false
	c.used = now
	if c.closing || !u.owned || u.spec.barred != 0 {
		u.close(c, step)
		return
	}
	u.trim(step)
}

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
