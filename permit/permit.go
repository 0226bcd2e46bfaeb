// Package permit allows non-idempotent requests to run at most once.
package permit

import (
	"net/netip"
	"time"

	"pistachioshore.dev/result"
)

// Permit is a single-use token that only the incarnation of the VM that issued it can consume.
type Permit struct {
	Issuer      netip.AddrPort
	Incarnation uint64
	Sequence    uint64 // from 1, unique for the incarnation
	Token       string
	Expires     time.Time
}

// Outcome is what a request with a permit ended with.
type Outcome struct {
	Code    result.Code
	Receipt string
}

// Decision tells what to do with a request that carries a permit; exactly one field is set.
type Decision struct {
	Run     bool            // run the request, then call Finish exactly once
	Wait    <-chan struct{} // an execution is under way: call Consume again once the channel is closed
	Outcome *Outcome        // the request has ended with this outcome
	Refusal result.Code
}

// Counts are the totals of a table since its start, and what it holds now.
type Counts struct {
	Issued     uint64
	Runs       uint64
	Waits      uint64 // callers told to wait for an execution under way
	Replays    uint64 // callers given a kept outcome
	Refusals   uint64
	Overloads  uint64 // permits not issued because the table was full
	Forgotten  uint64
	Unfinished uint64 // executions forgotten before Finish was called
	Held       int
	Running    int
}
