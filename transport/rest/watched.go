package rest

import (
	"net"
	"sync"
	"sync/atomic"
)

// watchedConn counts what was written and tells when the connection ends.
type watchedConn struct {
	net.Conn
	written atomic.Int64

	mu   sync.Mutex
	lost bool
	fn   func()
}

// Read marks the connection lost when the other end has closed or reset it.
func (w *watchedConn) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if err != nil {
		w.markLost()
	}
	return n, err
}

// Write counts the bytes that may have reached the upstream.
func (w *watchedConn) Write(b []byte) (int, error) {
	w.written.Add(int64(len(b))) // counted first: a failed write may still have sent a part
	return w.Conn.Write(b)
}

// Close ends the connection.
func (w *watchedConn) Close() error {
	w.markLost()
	return w.Conn.Close()
}

// onLost has fn called when the connection ends, or at once if it has ended.
func (w *watchedConn) onLost(fn func()) {
	w.mu.Lock()
	lost := w.lost
	w.fn = fn
	w.mu.Unlock()
	if lost {
		fn()
	}
}

func (w *watchedConn) markLost() {
	w.mu.Lock()
	first := !w.lost
	w.lost = true
	fn := w.fn
	w.mu.Unlock()
	if first && fn != nil {
		fn()
	}
}
