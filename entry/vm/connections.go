package vm

import (
	"pistachioshore.dev/table"
	"pistachioshore.dev/transport"
	"pistachioshore.dev/upstream"
)

// connections maps the connection references of the upstream table to open connections.
type connections struct {
	byRef *table.Guarded[map[upstream.ConnRef]transport.Conn]
}

func newConnections() *connections {
	return &connections{byRef: table.NewGuarded(table.RankPending, map[upstream.ConnRef]transport.Conn{})}
}

func (c *connections) put(ref upstream.ConnRef, conn transport.Conn) {
	c.byRef.With(func(m *map[upstream.ConnRef]transport.Conn) { (*m)[ref] = conn })
}

// get returns the connection, or nil if it is no longer open.
func (c *connections) get(ref upstream.ConnRef) transport.Conn {
	return table.WithResult(c.byRef, func(m *map[upstream.ConnRef]transport.Conn) transport.Conn { return (*m)[ref] })
}

// remove removes a connection without closing it and reports whether it was present.
func (c *connections) remove(ref upstream.ConnRef) bool {
	return table.WithResult(c.byRef, func(m *map[upstream.ConnRef]transport.Conn) bool {
		_, ok := (*m)[ref]
		delete(*m, ref)
		return ok
	})
}

// close removes and closes a connection.
func (c *connections) close(ref upstream.ConnRef) {
	conn := c.get(ref)
	if c.remove(ref) {
		_ = conn.Close()
	}
}

func (c *connections) closeAll() {
	refs := table.WithResult(c.byRef, func(m *map[upstream.ConnRef]transport.Conn) []upstream.ConnRef {
		var refs []upstream.ConnRef
		for ref := range *m {
			refs = append(refs, ref)
		}
		return refs
	})
	for _, ref := range refs {
		c.close(ref)
	}
}
