// Package entry states what one entry VM offers to its callers.
package entry

import (
	"context"
	"time"

	"pistachioshore.dev/gather"
	"pistachioshore.dev/record"
)

// Tier answers the requests of callers.
type Tier interface {
	// Query spreads a query over its shards; errors are *result.Error.
	Query(ctx context.Context, q Query) (gather.Answer, error)
	// Ready reports whether the balancer should send requests here.
	Ready() bool
	// Limits returns the largest body in bytes that is read now.
	BodyLimit() int
}

// Query is a caller's look-up over the groups of a route.
type Query struct {
	ID       string
	Route    string
	Groups   []string // all groups of the route if empty
	Class    string   // the route's class if empty
	Deadline time.Duration
	Filter   record.Filter
	Limit    int
}
