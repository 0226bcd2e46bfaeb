package upstream

// observeIncarnation binds the incarnation of a response to its connection and detects a restart of
// the upstream.
//
// A connection requested after the current incarnation was seen cannot lead to an older process, so
// a different incarnation on it must be newer. On an earlier connection the response may just be late.
// That connection is closed unverified, and the upstream is treated as cold.
func (u *server[P]) observeIncarnation(c *connection, incarnation string, nextConn ConnID, actions *Actions[P]) {
	if incarnation == "" || c.closing {
		return
	}
	switch {
	case incarnation == u.incarnation:
		c.incarnation = incarnation
	case u.incarnation == "" || c.id >= u.firstNewConn:
		c.incarnation = incarnation
		u.incarnation = incarnation
		u.firstNewConn = nextConn
		u.warmup.reset()
		u.dropOlderIncarnations(actions)
	default:
		c.closing = true
		u.warmup.reset()
	}
}

// dropOlderIncarnations closes the connections and drops the work of unknown outcome that belong to
// processes replaced by the current incarnation.
func (u *server[P]) dropOlderIncarnations(actions *Actions[P]) {
	for _, c := range u.conns {
		if c.incarnation != "" && c.incarnation != u.incarnation {
			c.closing = true
		}
	}
	u.closeIdle(actions, func(c *connection) bool { return c.closing })
	kept := u.unknownWork[:0]
	for _, w := range u.unknownWork {
		if w.incarnation == "" || w.incarnation == u.incarnation {
			kept = append(kept, w)
		}
	}
	u.unknownWork = kept
}

// resetIncarnation resets the upstream to cold with an unknown incarnation. All its connections and
// running work become unverified.
func (u *server[P]) resetIncarnation() {
	u.incarnation = ""
	u.warmup.reset()
	for _, c := range u.conns {
		c.incarnation = ""
	}
	for i := range u.unknownWork {
		u.unknownWork[i].incarnation = ""
	}
}
