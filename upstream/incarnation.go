package upstream

// observe binds the incarnation of a response to its connection and detects a restart of the upstream.
//
// A connection requested after the current incarnation was seen cannot lead to an older process, so
// a different incarnation on it must be newer. On an earlier connection the response may just be late.
// That connection is closed unverified, and the upstream is treated as cold.
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

// dropOlder closes the connections and drops the work of unknown outcome that belong to processes
// replaced by the current incarnation.
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

// forget resets the upstream to cold with an unknown incarnation. All its connections and running work
// become unverified.
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
