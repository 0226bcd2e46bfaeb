// Package gather decides how one query is spread over its shards and when its answer is ready.
package gather

import (
	"math/rand/v2"
	"time"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/result"
)

// DefaultMaxAttempts bounds the attempts of one shard, the first and its hedge included, where the plan says nothing else.
const DefaultMaxAttempts = 4

// Chooser picks the replica of a service that an attempt goes to.
type Chooser interface {
	// Choose returns one of the candidates, which are never empty.
	Choose(now time.Time, r *rand.Rand, candidates []string) string
	// HedgeDelay returns how long a part of the group may take before a hedge is worth its cost.
	HedgeDelay(group string) time.Duration
	// MedianLatency returns the median time of a part of the group.
	MedianLatency(group string) time.Duration
	// HasQueue reports whether the owner of the upstream last reported a queue.
	HasQueue(server string) bool
}

// Budget grants the attempts beyond the first, by the service that they go to.
type Budget interface {
	Earn(service string, primaries int)
	AllowHedge(service string) bool
	AllowRetry(service string) bool
}

// Plan is everything that a query needs to know before its first sub-request.
type Plan struct {
	Snapshot         uint64
	Revision         uint64
	Shards           []ShardPlan
	Deadline         time.Time
	MinimumCoverage  float64
	CoverageRequired bool // an answer below MinimumCoverage is of no use, so the query ends once it is out of reach
	StragglerWait    time.Duration
	AnswerBy         time.Time // answer at this time if MinimumCoverage is reached, instead of StragglerWait; zero for none
	MaxAttempts      int       // attempts of one shard; 0 for the constant of that name
	NotIdempotent    bool      // send no hedges, and retry only what has certainly not run
	RetriesHeld      bool      // make one attempt at each shard and no second one before Release
	Canary           bool      // run one shard alone first, because the fingerprint is not known to be good
}

// ShardPlan is one shard with the upstreams that can serve it; Refused says why there are none.
type ShardPlan struct {
	Shard         catalog.Shard
	Replicas      []string
	NoReplicaCode result.Code
}

// Attempt is one sub-request to one upstream.
type Attempt struct {
	Shard  int // index into Plan.Shards
	Number int // from 1, counted for each shard
	Server string
	Hedge  bool
}

// AttemptResult is the outcome of an attempt; Value is the shard result of a complete one.
type AttemptResult[P any] struct {
	Shard    int
	Number   int
	Code     result.Code
	Snapshot uint64
	Value    P
}

// Step is what the caller of a Query method has to do next.
type Step struct {
	Send         []Attempt
	Cancel       []Attempt
	WakeAt       time.Time // zero if no wake-up is needed
	CanaryOK     bool      // the canary request has succeeded
	NeedsVerdict bool      // the canary request is lost or late; Resume tells whether the query may go on
	Done         bool      // the answer is ready
	Restart      bool      // the query is worth starting over on the newest snapshot
}

// MissingShard is a shard that the answer lacks.
type MissingShard struct {
	Shard catalog.Shard
	Code  result.Code
}

// Answer is a complete or partial answer from one snapshot; Parts are in the order of Covered.
type Answer[P any] struct {
	Code     result.Code
	Snapshot uint64
	Revision uint64
	Covered  []string
	Missing  []MissingShard
	Values   []P
}

// Coverage returns the covered share of the shards, from 0 to 1.
func (a Answer[P]) Coverage() float64 {
	n := len(a.Covered) + len(a.Missing)
	if n == 0 {
		return 0
	}
	return float64(len(a.Covered)) / float64(n)
}
