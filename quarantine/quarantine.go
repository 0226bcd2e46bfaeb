// Package quarantine prevents requests that crash upstreams from running again.
//
// It identifies a request by its fingerprint, a hash of the request's content. A request whose fingerprint is not known
// to be good runs on one shard first, as a canary request. If such runs crash their upstreams, the fingerprint is
// quarantined, which means that requests with it are refused for a while.
//
// Each fingerprint has a coordinator VM, whose table makes the decisions in Decide and Report. The tables of the other
// VMs cache the coordinator's decisions, which they store with ApplyDecision and read with Lookup.
package quarantine

import "time"

// Verdict states whether and how a request may run now.
type Verdict uint8

// Verdicts of the coordinator.
const (
	Good    Verdict = iota + 1 // run it on every shard
	Canary                     // run it on one shard and report the outcome
	Wait                       // ask again at Until, or when the coordinator announces a change
	Refused                    // do not run it before Until
)

// String returns the wire form of the verdict.
func (v Verdict) String() string {
	switch v {
	case Good:
		return "good"
	case Canary:
		return "canary"
	case Wait:
		return "wait"
	case Refused:
		return "refused"
	default:
		return "unknown"
	}
}

// Decision is a verdict and the time until which it is valid. For Canary that time is the deadline of the canary
// request.
type Decision struct {
	Verdict Verdict
	Until   time.Time
}

// Outcome is the reported result of a run. A VM sends one report for each canary request. For ordinary runs it
// reports only crashes, because a success at one upstream does not disprove a crash at another.
type Outcome uint8

// Outcomes of a run. A run that ended in any way other than a suspected crash counts as succeeded.
const (
	Succeeded Outcome = iota + 1
	Crashed           // the upstream reset the connection and then refused a new one or had a different incarnation
	NotRun            // the canary request was allowed but not sent
)

// String returns the wire form of the outcome.
func (r Outcome) String() string {
	switch r {
	case Succeeded:
		return "succeeded"
	case Crashed:
		return "crashed"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Counts contains totals since the creation of a table and the number of fingerprints in each state.
type Counts struct {
	Crashes     uint64 // suspected crashes, including false positives caused by restarts
	Lost        uint64 // canary requests without a report
	Quarantines uint64 // quarantines started
	Evicted     uint64 // fingerprints evicted to make room for others
	Full        uint64 // requests told to wait because the table was full
	Good        int    // fingerprints known good at the last access to the table
	Quarantined int    // fingerprints refused at the last access to the table
}
