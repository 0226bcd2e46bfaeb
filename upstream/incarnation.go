package upstream

// observe binds a response's incarnation to its connection and follows a change of it.
//
// A connection that was asked for after the current incarnation was shown cannot lead to an older
// process, so a different incarnation on it is the newer one. On an earlier connection the response
// may just be late: the connection is given up unverified and the upstream is taken for cold.
func (u *server[P]) observe(c *connection, incarnation string, next ConnID, step *Actions[P]) {
	if incarnation == "" || c.closing {
		return
	}
	switch {
	case incarnation == u.incarnation:
		c.incarnation = incarnation
	case u.incarnation == "" || c.id >= u.since:
		c.incarnation = incarnation
		u.incarnation = incarnation
		u.since = next
		u.warm.reset()
		u.buryOlder(step)
	default:
		c.closing = true
		u.warm.reset()
	}
}

// buryOlder gives up what belonged to processes that a newer incarnation has replaced.
func (u *server[P]) buryOlder(step *Actions[P]) {
	for _, c := range u.conns {
		if c.incarnation != "" && c.incarnation != u.incarnation {
			c.closing = true
		}
	}
	u.closeIdle(step, func(c *connection) bool { return c.closing })
	kept := u.unknown[:0]
	for _, k := range u.unknown {
		if k.incarnation == "" || k.incarnation == u.incarnation {
			kept = append(kept, k)
		}
	}
	u.unknown = kept
}

// forget takes the upstream for cold and unknown, and all that is open or running for unverified.
func (u *server[P]) forget() {
	u.incarnation = ""
	u.warm.reset()
	for _, c := range u.conns {
		c.incarnation = ""
	}
	for i := range u.unknown {
		u.unknown[i].incarnation = ""
	}
}
