// Package permit provides single-use permits with which a non-idempotent request runs at most once.
//
// A caller first gets a permit from a VM and then sends its request with the permit. If it sends the request again with
// the same permit, it gets the outcome of the first execution.
package permit

import (
	"net/netip"
	"time"

	"pistachioshore.dev/result"
)

// Permit is a single-use permit for one request. Only the VM incarnation that issued it can consume it.
type Permit struct {
	Issuer      netip.AddrPort // VM that issued it
	Incarnation uint64         // incarnation of the issuer, which differs for each start of its process
	Sequence    uint64         // starts at 1, unique within the incarnation
	Token       string         // random secret, without which the sequence number is not accepted
	Expires     time.Time      // end of the time during which it can be consumed
}

// Outcome is the result of a request with a permit.
type Outcome struct {
	Code    result.Code
	Receipt string // confirmation that the upstream returned; empty unless the request has run
}

// Decision states how to handle a request that carries a permit. Exactly one field is set.
type Decision struct {
	Run     bool            // run the request, then call Finish exactly once
	Wait    <-chan struct{} // an execution is in progress: call Consume again after this channel is closed
	Outcome *Outcome        // the request has already ended with this outcome
	Refusal result.Code     // the request must not run, for this reason
}

// Counts contains totals since the creation of a table, and its current numbers of permits and executions.
type Counts struct {
	Issued     uint64 // permits issued
	Runs       uint64 // executions started
	Waits      uint64 // callers told to wait for an execution in progress
	Replays    uint64 // callers that got the outcome of an earlier execution
	Refusals   uint64 // requests refused by Consume
	Overloads  uint64 // permits not issued because the table was full
	Forgotten  uint64 // permits removed from the table
	Unfinished uint64 // executions whose permit was removed before Finish was called
	Held       int    // permits in the table
	Running    int    // executions in progress
}
