// Package entry defines the interface that an entry VM offers to its callers.
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

// Tier handles callers' requests. All errors that it returns are of type *result.Error.
type Tier interface {
	// Query fans a look-up out to its shards and merges their results into a complete or partial answer.
	Query(ctx context.Context, q Query) (Answer, error)
	// IssuePermit issues a single-use permit for an order.
	IssuePermit(ctx context.Context) (permit.Permit, error)
	// ExecuteOrder runs a non-idempotent operation at most once. If the permit was already used, it
	// returns the stored outcome.
	ExecuteOrder(ctx context.Context, o Order) (Outcome, error)
	// Status returns the VM's view of itself, its peers and the upstreams that it owns.
	Status() wire.Status
	// Ready reports whether the load balancer should route requests to this VM.
	Ready() bool
	// MaxBodyBytes returns the current limit on the size of a request body.
	MaxBodyBytes() int
}

// Query is a caller's look-up in the groups of a route.
type Query struct {
	ID       string // unique request ID; prefix of the request IDs that the upstreams see
	Route    string
	Groups   []string      // empty selects all groups of the route
	Class    string        // urgent, normal or background; empty selects the route's class; a caller may only lower the urgency
	Deadline time.Duration // zero selects the route's deadline
	Filter   record.Filter
	Limit    int // maximum number of records; zero selects the configured limit
}

// Matches holds the records that one shard returned for a query.
type Matches struct {
	Records []record.Record
	Matched int // total number of matching records, including those cut off by the limit
}

// Answer is the answer to a query, with the records of all its shards merged.
type Answer struct {
	gather.Answer[Matches]

	Records []record.Record // merged and cut off at the limit
	Matched int             // total number of matching records, including those cut off
}

// NewAnswer merges the shard results in a and keeps at most limit records.
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

// Order is a caller's request to run a non-idempotent operation once.
type Order struct {
	ID        string // unique request ID; prefix of the request IDs that the upstreams see
	Route     string
	Operation string        // name of the operation, which only the upstreams interpret
	Key       string        // key of the record to operate on; selects the shard
	Quantity  int           // argument of the operation, which only the upstreams interpret
	Deadline  time.Duration // zero selects the route's deadline
	Permit    permit.Permit // single-use permit from IssuePermit; a retry of the order uses the same one
}

// Outcome is the result of an order.
type Outcome struct {
	Code    result.Code // Executed, or Replayed if an earlier request with the permit executed the order
	Receipt string      // the upstream's ID of what the order changed
}
