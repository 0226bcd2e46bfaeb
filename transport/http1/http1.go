// Package http1 exchanges HTTP/1.1 requests with upstreams over kept connections.
//
// Unlike http.Transport it never sends a request a second time, adds no headers, skips answers that
// belong to another request, and tells whether a request that failed can have reached the upstream.
package http1

import (
	"net/http"
	"net/netip"
	"time"
)

// Header is one header line.
type Header struct {
	Name  string
	Value string
}

// Call is one request.
type Call struct {
	Method string
	Target string // path and query as they stand on the request line
	Host   string
	Header []Header
	Body   []byte
	// MaxIdleTime is how long a connection may have been idle to carry the call; 0 for any time. An upstream may
	// drop an idle connection without notice, and a call that must not be lost is not sent on one.
	MaxIdleTime time.Duration
	// MatchResponse tells whether an answer with the given header belongs to this call; nil accepts every answer.
	MatchResponse func(h http.Header) bool
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Failure tells why a call has no response, and whether it can have run.
type Failure uint8

// The failures. After Busy, Unreachable and TimedOut nothing of the call has left this VM.
const (
	NoFailure         Failure = iota
	PoolExhausted             // all connections that may be opened to the upstream are in use, and too many calls wait
	Unreachable               // the connection was refused or reset before it was used
	ConnectTimedOut           // the connection could not be opened in time
	ConnectionLost            // the connection ended before the whole answer was in
	MalformedResponse         // the answer is not HTTP, or larger than allowed
	NoResponse                // no answer came before the exchange was given up
)

var failureNames = [...]string{"none", "busy", "unreachable", "timed-out", "lost", "garbled", "silent"}

// String returns the failure's name.
func (f Failure) String() string {
	if int(f) >= len(failureNames) {
		return "unknown"
	}
	return failureNames[f]
}

// MayHaveBeenSent reports whether the upstream can have received the call.
func (f Failure) MayHaveBeenSent() bool {
	return f == NoFailure || f >= ConnectionLost
}

// DoneFunc takes the end of an exchange; it must not block. It is called once unless the exchange is
// abandoned or closed before its end.
type DoneFunc func(r Response, f Failure)

// Client starts exchanges.
type Client interface {
	// Start sends the call over an idle connection, or a new one if fewer than limit are open; otherwise
	// the call waits for a connection.
	Start(address netip.AddrPort, limit int, call *Call, done DoneFunc) *Exchange
}

// Counts are totals since the start of a pool.
type Counts struct {
	Dialed      uint64 // connections opened or tried
	Reused      uint64 // exchanges over a connection that was open
	Unsolicited uint64 // connections closed for bytes that nobody asked for
	Skipped     uint64 // answers of other requests that were skipped
	Waited      uint64 // exchanges that waited for a connection
	Abandoned   uint64 // exchanges whose answer nobody waits for any more
	Open        int    // connections open now
}

const (
	// dialTimeout bounds the opening of a connection: a packet that is lost is sent again after 1 s, and
	// waiting for that helps no caller.
	dialTimeout = 900 * time.Millisecond

	// probeEvery and probeCount set the keep-alive probes by which a silent connection is noticed
	// within 4 s.
	probeEvery = time.Second
	probeCount = 3

	// idleMargin is kept from the idle time that the upstream allows, for the way of the next request.
	idleMargin = 500 * time.Millisecond

	// readSize holds most answers, so that one read takes them in.
	readSize = 4 << 10

	// maxBody bounds the body of an answer in bytes.
	maxBody = 8 << 20

	// inlineBody is the largest body in bytes that is written by the caller of Start; a longer one could
	// block it while the upstream does not read.
	inlineBody = 8 << 10

	// mostWaiting bounds the calls that wait for a connection to one upstream.
	mostWaiting = 64

	// openers is the number of connections that are opened at once.
	openers = 64
)
