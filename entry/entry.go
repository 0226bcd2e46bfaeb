// Package entry states what one entry VM offers to its callers.
package entry

import (
	"context"
	"time"

	"pistachioshore.dev/gather"
	"pistachioshore.dev/permit"
	"pistachioshore.dev/record"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// Tier answers the requests of callers. Its errors are *result.Error.
type Tier interface {
	// Query fans a look-up out to its shards and returns a complete or partial answer.
	Query(ctx context.Context, q Query) (Answer, error)
	// IssuePermit issues a permit for one order.
	IssuePermit(ctx context.Context) (permit.Permit, error)
	// ExecuteOrder runs a non-idempotent operation at most once, or returns the kept outcome of its permit.
	ExecuteOrder(ctx context.Context, o Order) (Outcome, error)
	// Status returns what the VM believes.
	Status() wire.Status
	// Ready reports whether the load balancer should send requests here.
	Ready() bool
	// MaxBodyBytes returns the largest body in bytes that is read now.
	MaxBodyBytes() int
}

// Query is a caller's look-up over the groups of a route.
type Query struct {
	ID       string
	Route    string
	Groups   []string      // all groups of the route if empty
	Class    string        // the route's class if empty; a caller may only ask for a less urgent one
	Deadline time.Duration // the route's deadline if zero
	Filter   record.Filter
	Limit    int // the configuration's limit if zero
}

// Matches is what one shard found.
type Matches struct {
	Records []record.Record
	Matched int // records that matched, those beyond the limit included
}

// Answer is a query's answer with the merged records of its shards.
type Answer struct {
	gather.Answer[Matches]
	Records []record.Record
	Matched int
}

// NewAnswer merges the shard results of a into at most limit records.
func NewAnswer(a gather.Answer[Matches], limit int) Answer {
	merged := Answer{Answer: a}
	var parts [][]record.Record
	for _, p := range a.Values {
		parts = append(parts, p.Records)
		merged.Matched += p.Matched
	}
	merged.Records = record.Merge(parts, limit)
	return merged
}

// Order is a caller's request for one run of a non-idempotent operation.
type Order struct {
	ID        string
	Route     string
	Operation string
	Key       string
	Quantity  int
	Deadline  time.Duration // the route's deadline if zero
	Permit    permit.Permit
}

// Outcome tells how an order ended.
type Outcome struct {
	Code    result.Code
	Receipt string
}
