// Package forward serves client requests by sending them to upstreams directly. A request goes either to
// one upstream of a service, or to one replica of each shard, whose records are merged into one answer.
package forward

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"pistachioshore.dev/quota"
	"pistachioshore.dev/replica"
	"pistachioshore.dev/result"
	"pistachioshore.dev/route"
	"pistachioshore.dev/team"
)

// Handler answers client requests.
type Handler interface {
	// Serve returns the answer to a request. It returns early if ctx is cancelled.
	Serve(ctx context.Context, req *Request) Answer
}

// Request is one client request. A client that retries sends a new Request.
type Request struct {
	ID         string // ID that the client sent, under which the request is logged; empty if it sent none
	Method     string
	Target     string // path and query string as sent by the client
	Path       string // Target without the query string
	Host       string // Host header
	Header     http.Header
	Body       []byte
	ReceivedAt time.Time // when the VM that the client called received the request
	Deadline   time.Time // when the client stops waiting; zero if it sent none
	// Transit is the time the request and its answer spend on the network between client and VM,
	// including connection setup, and between VMs if the request is relayed.
	Transit       time.Duration
	Relayed       bool   // received from another VM, not from the client
	ConfigVersion uint64 // configuration version that must serve a relayed request
	// Priority is that of the request's team, 0 for the most urgent. It takes precedence over that of the route if not nil.
	Priority      *int
	Shards        []int    // positions of the shards in the route, if the request is a part of a query; nil for a whole one
	PriorAttempts int      // attempts per shard that other VMs may have made already
	Key           team.Key // digest of the client's API key; zero if it sent none, or if the request is relayed
	Team          string   // team that the key belongs to; empty if there is none
	charged       bool     // counted against the quota of the team
	// OnProgress, if not nil, receives the present answer to a part of a query when the query could be answered without
	// the shards that are missing, and from then on now and then. It must not block.
	OnProgress func(a Answer)

	// Confirmed is closed once the VM that relayed the query relies on this VM alone for the answer. Until
	// then this VM makes only one attempt per shard. If nil, retries and hedges are allowed from the start.
	Confirmed <-chan struct{}
}

// Response is the HTTP response of an upstream.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Stamp  string // signature of the upstream; empty if the response is unsigned
}

// Succeeded reports whether the status is that of a success.
func (r *Response) Succeeded() bool {
	return r.Status >= 200 && r.Status < 300
}

// AttemptResult is the result of one attempt. Response is nil if the upstream did not respond.
type AttemptResult struct {
	Code     result.Code
	Outcome  replica.Outcome // how the attempt ended, for the statistics of the replica
	Response *Response
	Load     *replica.Load // load that the upstream reported; nil if it reported none
	Detail   string        // connection-level detail for the log
}

// Attempt is a request to be sent to one upstream.
type Attempt struct {
	Request        *Request
	Server         route.Server
	MaxConnections int // limit on this VM's connections to the upstream
	Deadline       time.Time
	// MayBeSent, if not nil, is called right before an attempt that has waited for a connection is sent. If it returns
	// false, the attempt ends without being sent, with the code UpstreamLeaving. It must not block.
	MayBeSent     func() bool
	NotIdempotent bool // must run at most once, so it is not sent on a connection that the upstream may have closed
}

// PendingAttempt is an attempt in flight.
type PendingAttempt interface {
	// Abandon discards the result. The connection is closed unless the attempt ends within limit.
	Abandon(limit time.Duration)
	// Cancel discards the result and closes the connection, so that the upstream can stop working on it.
	Cancel()
}

// Sender sends attempts to upstreams.
type Sender interface {
	// Send starts an attempt. It calls done once, unless the attempt is abandoned or cancelled before it ends.
	// The callback must not block.
	Send(a Attempt, done func(AttemptResult)) PendingAttempt
	// CheckHealth sends a health check, a GET request for the path, to an upstream, unless mayBeSent returns false after a
	// wait for a connection. It calls done with whether any response arrived.
	CheckHealth(s route.Server, path string, mayBeSent func() bool, done func(answered bool))
	// Probe tells whether an upstream, to which at most maxConnections may be open, accepts connections. It sends no
	// request. It calls done once, which must not block.
	Probe(s route.Server, maxConnections int, done func(res replica.ProbeResult))
}

// Answer is the answer to a client request. Code determines which other fields are set.
type Answer struct {
	Code       result.Code
	Response   *Response     // from the one upstream of an unsharded route; nil if there was none
	Records    []byte        // merged records of a sharded route
	Stamps     []string      // signatures of the shards whose records are merged
	Missing    int           // shards missing from Records; 0 for a failure
	RetryAfter time.Duration // for a refused request: when to retry; 0 if not known
	Sharded    bool          // the answer comes from a sharded route
}

// Size returns the bytes of the answer's body.
func (a Answer) Size() int {
	if a.Response != nil {
		return len(a.Response.Body)
	}
	return len(a.Records)
}

// Relay sends parts of queries over shards to other VMs, which answer them.
type Relay interface {
	// Zones returns the zones with another VM to which parts can be sent.
	Zones(now time.Time) []string
	// FansOut reports whether this VM may fan out parts itself.
	FansOut() bool
	// Relay sends the part of a query to a VM of the zone and returns the answer and the address of that VM. It returns
	// false if no VM is available or none accepted the part. Attempts those VMs may have made are added to
	// req.PriorAttempts.
	Relay(ctx context.Context, req *Request, zone string, l RelayLimits) (Answer, netip.AddrPort, bool)
}

// RelayLimits are the limits of a relayed part of a query.
type RelayLimits struct {
	ConfigVersion uint64    // configuration version that must serve the part
	Deadline      time.Time // time after which the answer is no longer needed
	MaxAttempts   int       // attempts per shard, summed over all VMs
}

// Settings are the settings that the platform gives a VM before it starts.
type Settings struct {
	Zone        string  // availability zone of this VM
	RetryRatio  float64 // retries and hedges per request, summed over all VMs
	RetryBurst  int     // further retries and hedges per measurement window of the platform, summed over all VMs
	MaxInFlight int     // requests that this VM serves concurrently
	Workers     int     // worker goroutines that process results and timers

	RevocationBound time.Duration        // longest time after the withdrawal of an API key in which it may be used; 0 for no bound
	Quota           quota.Settings       // tolerances in the enforcement of the teams' quotas
	BootClock       func() time.Duration // time since the VM booted, including suspensions; needed with RevocationBound
}
