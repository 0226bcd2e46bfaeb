// Package upstream holds what the owner VM of an upstream keeps about it and decides when work is released to it.
//
// The decisions keep the work at a restarted upstream within its cold-start limit without trusting
// its reports. The incarnation of a response is bound to the connection that carried it, and a
// connection is verified once a response on it showed the current incarnation. A restart ends every
// verified connection, so whatever runs at the restarted process is on an unverified connection,
// where running work never exceeds the cold-start limit, or is counted in a total that has been
// back at that limit since the first response showed the new incarnation.
//
// An attempt that ended without an answer counts as running until its deadline, after a lost
// connection too, because a reset alone does not prove that the process has ended. Work therefore
// resumes at a crashed upstream only when its lost attempts no longer fill the cold-start limit.
//
// A suspected crash is any connection-lost outcome. A restart for another reason cannot be told
// apart at that moment: the table sees the same lost connection, and a fingerprint that waited for
// further evidence could take down a third upstream. The caller must therefore not report a
// connection that it closed itself as lost.
package upstream

import (
	"net/netip"
	"time"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/result"
)

// AttemptKey names one attempt of one sub-request.
type AttemptKey struct {
	Origin  netip.AddrPort
	ID      uint64
	Attempt int
}

// Job is one attempt that asks to run at an upstream.
type Job[P any] struct {
	Key         AttemptKey
	Class       catalog.Class
	Deadline    time.Time
	Fingerprint uint64
	Idempotent  bool
	Payload     P
}

// ConnID names a connection; a table never uses one twice.
type ConnID uint64

// ConnRef names a connection and its upstream.
type ConnRef struct {
	Upstream string
	Conn     ConnID
}

// StartedJob is a job that is released to a connection.
type StartedJob[P any] struct {
	Job      Job[P]
	Upstream string
	Address  netip.AddrPort
	Conn     ConnID
	Connect  bool // open a connection first, known as Conn from then on
}

// RefusedJob is a job that was not run.
type RefusedJob[P any] struct {
	Job  Job[P]
	Code result.Code
}

// Actions is what the caller does after a change; it carries out Close before Start, so that the
// connections open at one moment stay within their limit.
type Actions[P any] struct {
	Start  []StartedJob[P]
	Refuse []RefusedJob[P]
	Close  []ConnRef // may name a connection that has ended already
	Cancel []StartedJob[P]
}

// Outcome is how a started job ended.
type Outcome struct {
	Upstream    string
	Conn        ConnID
	Key         AttemptKey
	Code        result.Code // Unreachable says that nothing was sent
	Incarnation string      // empty without a response
	Elapsed     time.Duration
	Connected   bool // false if the connection could not be opened
}

// FinishResult is what follows from an outcome.
type FinishResult[P any] struct {
	Actions[P]
	SuspectedCrash bool // the job's fingerprint is suspected of having crashed the upstream
}

// Handover is what one owner VM tells the next about an upstream; the zero value says that nothing is known.
type Handover struct {
	Incarnation    string
	Limit          int // zero if the next owner VM starts cold
	AnswersAtLimit int // answers since Limit was reached
	Running        int
	RunningUntil   time.Time // end of the last running attempt
}

// Status is the state of one upstream for the status page.
type Status struct {
	Name                string
	Owned               bool
	Warm                bool
	Limit               int
	Running             int // attempts of unknown outcome and work of an earlier owner VM included
	Queued              int
	Connections         int
	VerifiedConnections int
	Incarnation         string
}
