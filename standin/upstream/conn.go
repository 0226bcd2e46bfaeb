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

// conn is a connection that is served after its connect time and can go silent.
type conn struct {
	net.Conn
	ready   time.Time
	silent  atomic.Bool
	once    sync.Once
	done    chan struct{} // closed when the connection has ended
	release func(*conn)
}

// Read waits for the connect time; on a silent connection it returns only after the end.
func (c *conn) Read(b []byte) (int, error) {
	if wait := time.Until(c.ready); wait > 0 {
		c.pause(wait)
	}
	n, err := c.Conn.Read(b)
	if c.silent.Load() {
		<-c.done
		return 0, net.ErrClosed
	}
	return n, err
}

// Write drops what is written to a silent connection.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close ends the connection; a silent one stays until the client closes it, as its close would not arrive.
func (c *conn) Close() error {
	if !c.silent.Load() {
		c.end()
	}
	return nil
}

// SetReadDeadline has no effect on a silent connection.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.silent.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// discard reads a silent connection until the client closes it, so that it stops counting.
func (c *conn) discard() {
	defer c.end()
	for {
		_ = c.Conn.SetReadDeadline(time.Time{}) // the server may have set one just before the silence
		_, err := io.Copy(io.Discard, c.Conn)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

func (c *conn) end() {
	c.once.Do(func() {
		close(c.done)
		_ = c.Conn.Close()
		c.release(c)
	})
}

func (c *conn) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.done:
	}
}
