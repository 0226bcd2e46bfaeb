package vm

import (
	"pistachioshore.dev/table"
	"pistachioshore.dev/transport"
	"pistachioshore.dev/upstream"
)

// connections maps the connections that the table of owned upstreams knows by number.
type connections struct {
	open *table.Guarded[map[upstream.ConnRef]transport.Conn]
}

func newConnections() *connections {
	return &connections{open: table.NewGuarded(table.RankPending, map[upstream.ConnRef]transport.Conn{})}
}

func (c *connections) put(ref upstream.ConnRef, conn transport.Conn) {
	c.open.With(func(m *map[upstream.ConnRef]transport.Conn) { (*m)[ref] = conn })
}

// get returns the connection, or nil if it is gone.
func (c *connections) get(ref upstream.ConnRef) transport.Conn {
	return table.WithResult(c.open, func(m *map[upstream.ConnRef]transport.Conn) transport.Conn { return (*m)[ref] })
}

// drop forgets a connection; it reports whether the connection was known.
func (c *connections) drop(ref upstream.ConnRef) bool {
	return table.WithResult(c.open, func(m *map[upstream.ConnRef]transport.Conn) bool {
		_, ok := (*m)[ref]
		delete(*m, ref)
		return ok
	})
}

// close forgets and closes a connection.
func (c *connections) close(ref upstream.ConnRef) {
	conn := c.get(ref)
	if c.drop(ref) {
		_ = conn.Close()
	}
}

func (c *connections) closeAll() {
	refs := table.WithResult(c.open, func(m *map[upstream.ConnRef]transport.Conn) []upstream.ConnRef {
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
