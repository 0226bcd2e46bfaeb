package tier

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// pathConn is a connection that can go silent: it then neither delivers nor closes.
type pathConn struct {
	net.Conn
	network  *Network
	from, to netip.AddrPort
	path     path

	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// Read returns nothing on a silent connection until its owner closes it.
func (c *pathConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write drops what is written to a silent connection.
func (c *pathConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close ends the connection; the other end of a silent one learns of it when the path is back.
func (c *pathConn) Close() error {
	var err error
	c.once.Do(func() {
		close(c.closed)
		if c.network.leave(c) {
			err = c.Conn.Close()
		}
	})
	return err
}

func (c *pathConn) freeze() {
	c.silent.Store(true)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // ends a read under way, which then waits for Close
}

func (c *pathConn) isFrozen() bool {
	return c.silent.Load()
}

// reset ends both ends of the connection.
func (c *pathConn) reset() {
	_ = c.Close()
	_ = c.Conn.Close()
}
