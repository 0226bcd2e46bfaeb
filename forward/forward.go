// Package forward serves requests by sending them on to upstreams directly: to one upstream of a
// service, or to one upstream of each shard with a merged answer.
package forward

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"pistachioshore.dev/replica"
	"pistachioshore.dev/result"
	"pistachioshore.dev/route"
)

// Handler answers the requests of clients.
type Handler interface {
	// Serve returns the answer to a request; it returns early once ctx has ended.
	Serve(ctx context.Context, req *Request) Answer
}

// Request is one attempt of a client.
type Request struct {
	ID         string
	Method     string
	Target     string // path and query as the client sent them
	Path       string
	Host       string
	Header     http.Header
	Body       []byte
	ReceivedAt time.Time
	Deadline   time.Time // when the client stops waiting; zero if it named none
	// Transit is the time that the request and its answer spend between client and VM, with the opening of the connection.
	Transit          time.Duration
	Relayed          bool   // another VM took it from the client and passed it on
	MinConfigVersion uint64 // least configuration version that may answer; 0 for any
	PriorAttempts    int    // attempts at each shard that another VM may have made already

	// Confirmed is closed once the VM that passed the query on waits for this one alone; before, this VM makes
	// one attempt at each shard. Nil allows further attempts from the start.
	Confirmed <-chan struct{}
}

// Response is what an upstream answered.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Stamp  string // signature of the upstream, empty if there is none
}

// AttemptResult is how an attempt ended; Response is nil if the upstream did not answer.
type AttemptResult struct {
	Code     result.Code
	Outcome  replica.Outcome
	Response *Response
	Load     *replica.Load
	Detail   string // what happened on the connection, for the log
}

// Attempt is a request on its way to one upstream.
type Attempt struct {
	Request        *Request
	Server         route.Server
	MaxConnections int // connections that this VM may open to the upstream
	Deadline       time.Time
	NotIdempotent  bool // the request may run once only, so it is not sent on a connection that may be dead
}

// PendingAttempt is an attempt under way.
type PendingAttempt interface {
	// Abandon drops the reply, but leaves the attempt at most limit to end.
	Abandon(limit time.Duration)
	// Cancel drops the reply and tells the upstream that nobody waits.
	Cancel()
}

// Sender sends attempts to upstreams.
type Sender interface {
	// Send starts an attempt; done is called once unless the attempt is abandoned or closed, and must not block.
	Send(a Attempt, done func(AttemptResult)) PendingAttempt
	// CheckHealth asks an upstream for its health; done is told whether any answer came.
	CheckHealth(s route.Server, path string, done func(answered bool))
}

// Answer is what a client gets. Code tells which of the other fields are set.
type Answer struct {
	Code       result.Code
	Response   *Response     // of the one upstream that answered
	Records    []byte        // merged records of a sharded route
	Stamps     []string      // signatures of the shards in Records
	Missing    int           // shards that Records lack; 0 for a failure
	RetryAfter time.Duration // for a refusal: when there will be room; 0 if it is not known
	Sharded    bool
}

// Relay has other VMs answer queries over shards.
type Relay interface {
	// Relay passes the query on to another VM and returns its answer with the VM that gave it. It returns
	// false if there is none or none took the query, and counts in req what these may have tried.
	Relay(ctx context.Context, req *Request, l RelayLimits) (Answer, netip.AddrPort, bool)
}

// RelayLimits bound how a query is passed on.
type RelayLimits struct {
	MinConfigVersion uint64    // least configuration version that may answer
	Deadline         time.Time // when nobody waits for the answer any more
	MaxAttempts      int       // attempts at each shard, over all VMs
}

// Settings are what a VM learns from its platform before it starts.
type Settings struct {
	RetryRatio  float64 // attempts beyond the first for each request, over all VMs
	RetryBurst  int     // attempts beyond that in the window of the platform, over all VMs
	MaxInFlight int     // requests that this VM serves at once
	Workers     int     // goroutines that run decisions
}
