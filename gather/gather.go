// Package gather decides how one query is fanned out to its shards, when an attempt is hedged or retried, and when
// the answer is ready. It does no I/O: each call returns a Step for the caller to carry out.
package gather

import (
	"math/rand/v2"
	"time"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/result"
)

// DefaultMaxAttempts limits the attempts per shard, including the first one and hedges, if the plan sets no limit.
const DefaultMaxAttempts = 4

// Chooser chooses the replica for each attempt and provides latency estimates.
type Chooser interface {
	// Choose returns one of the candidates. The caller passes at least one.
	Choose(now time.Time, r *rand.Rand, candidates []string) string
	// HedgeDelay returns how long to wait for an attempt in the group before sending a hedge.
	HedgeDelay(group string) time.Duration
	// MedianLatency returns the median latency of an attempt in the group.
	MedianLatency(group string) time.Duration
	// HasQueue reports whether the owner of the upstream last reported queued requests.
	HasQueue(server string) bool
}

// Budget limits the retries and hedges sent to each service. Credit adds the tokens that a service earns with first
// attempts. AllowHedge and AllowRetry take a token, or return false if there is none.
type Budget interface {
	Credit(service string, firstAttempts int)
	AllowHedge(service string) bool
	AllowRetry(service string) bool
}

// Plan is the input of a query.
type Plan struct {
	Snapshot         uint64 // results from another snapshot are dropped
	Revision         uint64 // configuration revision, returned with the answer
	Shards           []ShardPlan
	Deadline         time.Time
	MinimumCoverage  float64       // fraction of the shards, from 0 to 1, that an answer before the deadline must cover
	CoverageRequired bool          // end the query once MinimumCoverage is out of reach, because a smaller answer is useless
	StragglerWait    time.Duration // time to wait for further shards once MinimumCoverage is reached
	AnswerBy         time.Time     // time to answer at if MinimumCoverage is reached; replaces StragglerWait unless zero
	MaxAttempts      int           // attempts per shard; 0 for DefaultMaxAttempts
	NotIdempotent    bool          // send no hedges, and retry only attempts that have certainly not run
	RetriesHeld      bool          // make only one attempt per shard until ReleaseRetries
	Canary           bool          // send a canary request to one shard first, because the request may crash upstreams
}

// ShardPlan is one shard with the upstreams that can serve it. NoReplicaCode is the shard's result if there are
// none.
type ShardPlan struct {
	Shard         catalog.Shard
	Replicas      []string // names of the upstreams
	NoReplicaCode result.Code
}

// Attempt is one sub-request to one upstream.
type Attempt struct {
	Shard  int    // index into Plan.Shards
	Number int    // from 1, counted for each shard
	Server string // name of the upstream
	Hedge  bool   // sent while an earlier attempt at the shard is in flight
}

// AttemptResult is the result of an attempt.
type AttemptResult[T any] struct {
	Shard    int // as in Attempt
	Number   int // as in Attempt
	Code     result.Code
	Snapshot uint64 // version of the snapshot that Value is from
	Value    T      // the shard's data if Code is Complete
	Final    bool   // the shard is not retried
}

// Step is what the caller of a Query method has to do.
type Step struct {
	Send         []Attempt // attempts to send
	Cancel       []Attempt // attempts in flight whose results are no longer needed
	WakeAt       time.Time // when to call Wake; zero if no wake-up is needed
	CanaryOK     bool      // the canary request has succeeded
	NeedsVerdict bool      // the canary request was lost or is late; ask the quarantine coordinator, then call Resume
	Done         bool      // the answer is ready
	Restart      bool      // restart the query on the newest snapshot
}

// MissingShard is a shard that the answer does not cover.
type MissingShard struct {
	Shard catalog.Shard
	Code  result.Code // why it is missing
}

// Answer is a complete or partial answer from one snapshot. Values has one element for each shard in Covered.
type Answer[T any] struct {
	Code     result.Code // Complete or Partial
	Snapshot uint64      // version of the snapshot
	Revision uint64      // configuration revision, as in Plan
	Covered  []string    // names of the shards in the answer
	Missing  []MissingShard
	Values   []T
}

// Coverage returns the fraction of the shards that the answer covers, from 0 to 1.
func (a Answer[T]) Coverage() float64 {
	n := len(a.Covered) + len(a.Missing)
	if n == 0 {
		return 0
	}
	return float64(len(a.Covered)) / float64(n)
}
