package kv

import (
	"net/http"
	"sync"
	"time"
)

// slowDelay is the delay of each answer of a store that is Slow. It is longer than a caller waits.
const slowDelay = 3 * time.Second

// Further faults, which only a Front has.
const (
	Slow       Fault = "slow"       // answers after slowDelay
	NoHistory  Fault = "no-history" // answers each watch with 410
	NoResponse Fault = "mute"       // gives no answer, also to calls that began before the fault
)

// Front serves the calls of one VM, so that the store can fail for that VM alone. It is safe for concurrent use.
type Front struct {
	store *Store

	mu    sync.Mutex
	fault Fault
}

// NewFront returns a front of the store without a fault.
func (s *Store) NewFront() *Front {
	return &Front{store: s}
}

// SetFault replaces the fault. Calls that are open fail in the way of the new fault when their answer is due.
func (f *Front) SetFault(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

func (f *Front) currentFault() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}

// ServeHTTP implements [http.Handler].
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch fault := f.currentFault(); {
	case fault == Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case fault == TooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
	case fault == NoHistory && r.URL.Path == watchPath:
		w.WriteHeader(http.StatusGone)
	case fault == ResetConnections:
		panic(http.ErrAbortHandler)
	default:
		f.store.ServeHTTP(&frontWriter{ResponseWriter: w, front: f, request: r}, r)
	}
}

// delayAnswer holds up or ends a call whose answer is due.
func (f *Front) delayAnswer(r *http.Request) {
	switch f.currentFault() {
	case NoResponse:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case ResetConnections:
		panic(http.ErrAbortHandler)
	case Slow:
		select {
		case <-time.After(slowDelay):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// frontWriter applies the fault to an answer that is due while there is one.
type frontWriter struct {
	http.ResponseWriter
	front   *Front
	request *http.Request
	written bool
}

// Write writes a part of the answer.
func (w *frontWriter) Write(p []byte) (int, error) {
	if !w.written {
		w.written = true
		w.front.delayAnswer(w.request)
	}
	return w.ResponseWriter.Write(p)
}
