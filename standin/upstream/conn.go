package upstream

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// conn is a server-side connection that delivers nothing before its connect time has passed and can be
// silenced, as by a network that drops every packet.
type conn struct {
	net.Conn
	readyAt   time.Time
	silenced  atomic.Bool
	closeOnce sync.Once
	done      chan struct{} // closed with the connection
	onClose   func(*conn)
}

// Read waits for the connect time to pass; on a silenced connection it returns only once that is closed.
func (c *conn) Read(b []byte) (int, error) {
	if wait := time.Until(c.readyAt); wait > 0 {
		c.sleep(wait)
	}
	n, err := c.Conn.Read(b)
	if c.silenced.Load() {
		<-c.done
		return 0, net.ErrClosed
	}
	return n, err
}

// Write discards what is written to a silenced connection.
func (c *conn) Write(b []byte) (int, error) {
	if c.silenced.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection. A silenced one stays open until the client closes it, because the client
// must not see the close.
func (c *conn) Close() error {
	if !c.silenced.Load() {
		c.forceClose()
	}
	return nil
}

// SetReadDeadline has no effect on a silenced connection.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.silenced.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// discard reads a silenced connection until the client closes it, after which it no longer counts as open.
func (c *conn) discard() {
	defer c.forceClose()
	for {
		_ = c.Conn.SetReadDeadline(time.Time{}) // the HTTP server may have set one just before the connection was silenced
		_, err := io.Copy(io.Discard, c.Conn)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

func (c *conn) forceClose() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.Conn.Close()
		c.onClose(c)
	})
}

func (c *conn) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.done:
	}
}
