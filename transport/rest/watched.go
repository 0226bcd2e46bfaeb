package rest

import (
	"net"
	"sync"
	"sync/atomic"
)

// watchedConn counts what was written and tells when the other end closes or resets the connection.
type watchedConn struct {
	net.Conn
	written atomic.Int64

	mu     sync.Mutex
	closed bool // by this end
	ended  bool // by the other end
	fn     func()
}

// Read notices when the other end has closed or reset the connection.
func (w *watchedConn) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if err != nil {
		w.markEnded()
	}
	return n, err
}

// Write counts the bytes that may have reached the upstream; none do after a close from this end.
func (w *watchedConn) Write(b []byte) (int, error) {
	if w.isClosed() {
		return 0, net.ErrClosed
	}
	w.written.Add(int64(len(b))) // counted first: a failed write may still have sent a part
	return w.Conn.Write(b)
}

// Close ends the connection from this end, which says nothing about the upstream.
func (w *watchedConn) Close() error {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	return w.Conn.Close()
}

func (w *watchedConn) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

// onEnded has fn called when the other end ends the connection, or at once if it has.
func (w *watchedConn) onEnded(fn func()) {
	w.mu.Lock()
	ended := w.ended
	w.fn = fn
	w.mu.Unlock()
	if ended {
		fn()
	}
}

// hasEnded reports whether the other end has ended the connection.
func (w *watchedConn) hasEnded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended
}

func (w *watchedConn) markEnded() {
	w.mu.Lock()
	first := !w.ended && !w.closed
	w.ended = w.ended || first
	fn := w.fn
	w.mu.Unlock()
	if first && fn != nil {
		fn()
	}
}
