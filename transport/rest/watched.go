package rest

import (
	"net"
	"sync"
	"sync/atomic"
)

// watchedConn counts the bytes written and reports when the other end closes or resets the connection.
type watchedConn struct {
	net.Conn
	written atomic.Int64

	mu           sync.Mutex
	closed       bool // by this end
	remoteClosed bool // by the other end
	onClose      func()
}

// Read reads from the connection; an error shows that the other end has closed or reset it, unless this end
// closed it first.
func (w *watchedConn) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if err != nil {
		w.markRemoteClosed()
	}
	return n, err
}

// Write counts the bytes that may have reached the upstream; after Close it fails without sending any.
func (w *watchedConn) Write(b []byte) (int, error) {
	if w.isClosed() {
		return 0, net.ErrClosed
	}
	w.written.Add(int64(len(b))) // counted before the write, because a failed write may have sent some of the bytes
	return w.Conn.Write(b)
}

// Close closes the connection from this end, which is not reported as a close by the upstream.
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

// onRemoteClose registers a function that is called when the other end closes the connection, or calls it
// immediately if that has happened already.
func (w *watchedConn) onRemoteClose(fn func()) {
	w.mu.Lock()
	remoteClosed := w.remoteClosed
	w.onClose = fn
	w.mu.Unlock()
	if remoteClosed {
		fn()
	}
}

// isRemoteClosed reports whether the other end has closed or reset the connection.
func (w *watchedConn) isRemoteClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.remoteClosed
}

func (w *watchedConn) markRemoteClosed() {
	w.mu.Lock()
	first := !w.remoteClosed && !w.closed
	w.remoteClosed = w.remoteClosed || first
	fn := w.onClose
	w.mu.Unlock()
	if first && fn != nil {
		fn()
	}
}
