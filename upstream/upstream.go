// Package upstream implements the state that the owner VM keeps for each upstream: the queue, the
// running jobs, the connections and the warm-up after a cold start. It decides when queued jobs are
// released to the upstream. The owner VM of an upstream is the only VM that sends requests to it.
//
// A response carries the incarnation of the upstream, a text that differs for each start of its
// process.
//
// The table keeps the work at a restarted upstream within its cold-start limit, without relying on the
// upstream's own reports. The incarnation in a response is bound to the connection that carried it,
// and a connection is verified once a response on it has shown the current incarnation. A restart
// breaks all verified connections. The jobs at the restarted process are therefore either on
// unverified connections, where running jobs never exceed the cold-start limit, or counted in the
// total, whose limit restarts from the cold-start limit with the first response that shows the new
// incarnation.
//
// An attempt that ended without an answer counts as running until its deadline, even after a lost
// connection, because a connection reset does not prove that the process has ended. Work therefore
// resumes at a crashed upstream only when its lost attempts no longer fill the cold-start limit.
//
// Every connection-lost outcome is treated as a suspected crash. A restart for another reason cannot
// be distinguished at that moment, because the table sees the same lost connection, and waiting for
// more evidence could let the same fingerprint crash a third upstream. The caller must therefore not
// report a connection that it closed itself as lost.
package upstream

import (
	"net/netip"
	"time"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/result"
)

// AttemptKey identifies one attempt of one sub-request.
type AttemptKey struct {
	Origin  netip.AddrPort // VM that sent the sub-request
	ID      uint64         // number of the sub-request, unique at its origin
	Attempt int            // number of the attempt, from 1
}

// Job is one attempt to be run at an upstream. P is the type of the payload, which the table does not
// use.
type Job[P any] struct {
	Key         AttemptKey
	Class       catalog.Class // the jobs of the most urgent class start first
	Deadline    time.Time
	Fingerprint uint64 // hash of the request's content
	Idempotent  bool
	Payload     P // what the caller needs to run the job
}

// ConnID identifies a connection; a table never reuses one.
type ConnID uint64

// ConnRef identifies a connection together with its upstream.
type ConnRef struct {
	Upstream string
	Conn     ConnID
}

// StartedJob is a job that was released to a connection.
type StartedJob[P any] struct {
	Job      Job[P]
	Upstream string
	Address  netip.AddrPort
	Conn     ConnID // connection to run the job on
	Connect  bool   // a new connection must be opened first and registered as Conn
}

// RefusedJob is a job that was refused without being run.
type RefusedJob[P any] struct {
	Job  Job[P]
	Code result.Code // reason for the refusal
}

// Actions are what the caller must do after a change of the table. Close must be carried out before
// Start, so that the open connections never exceed their limit.
type Actions[P any] struct {
	Start  []StartedJob[P] // jobs to run
	Refuse []RefusedJob[P] // jobs whose origin must be told that they do not run
	Close  []ConnRef       // may include connections that are already closed
	Cancel []StartedJob[P] // running jobs to cancel
}

// Outcome is the outcome of a started job.
type Outcome struct {
	Upstream    string
	Conn        ConnID
	Key         AttemptKey
	Code        result.Code   // Unreachable means that nothing was sent
	Incarnation string        // incarnation shown by the response, empty without one
	Elapsed     time.Duration // time since the job was started, including the opening of a connection
	Connected   bool          // false if the connection could not be opened
}

// FinishResult holds the consequences of an outcome.
type FinishResult[P any] struct {
	Actions[P]
	SuspectedCrash bool // the job's fingerprint may have crashed the upstream
}

// Handover is the state of an upstream that its owner VM passes to the next one. The zero value means
// that nothing is known.
type Handover struct {
	Incarnation    string    // current incarnation, empty if unknown
	Limit          int       // concurrency limit that the warm-up has reached; zero if the next owner VM starts cold
	AnswersAtLimit int       // answers since Limit was reached
	Running        int       // attempts that may still be running
	RunningUntil   time.Time // time by which all of them have ended
}

// Status is the state of one upstream for the status page.
type Status struct {
	Name                string
	Owned               bool // this VM is the owner VM
	Warm                bool // the warm-up has reached the configured number of slots
	Limit               int  // requests that may run concurrently in the current state of the warm-up
	Running             int  // including attempts of unknown outcome and work of an earlier owner VM
	Queued              int
	Connections         int
	VerifiedConnections int    // connections on which a response has shown the current incarnation
	Incarnation         string // current incarnation, empty if unknown
}
