package tier

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// linkConn is a connection that can be made silent: it then neither delivers data nor notifies the remote end
// of a close, as in a network partition.
type linkConn struct {
	net.Conn
	network  *Network
	from, to netip.AddrPort
	link     link

	silent    atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

// Read reads from the connection. If it is silent, Read blocks until the connection is closed.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes to the connection. If it is silent, Write discards the data and reports success.
func (c *linkConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection. The remote end of a silent connection is notified only when the network resets it.
func (c *linkConn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		close(c.closed)
		if c.network.untrack(c) {
			err = c.Conn.Close()
		}
	})
	return err
}

func (c *linkConn) silence() {
	c.silent.Store(true)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // interrupts a pending read, which then waits for Close
}

func (c *linkConn) isSilent() bool {
	return c.silent.Load()
}

// reset closes the connection and the underlying one, so that both ends are notified.
func (c *linkConn) reset() {
	_ = c.Close()
	_ = c.Conn.Close()
}
