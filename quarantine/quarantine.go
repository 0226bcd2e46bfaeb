// Package quarantine keeps requests that crash upstreams from running again.
//
// The table of the coordinator VM of a fingerprint decides with Ask and Report; the tables of the
// other VMs cache what the coordinator tells them with Learn and Cached.
package quarantine

import "time"

// Verdict tells what may be done with a request now.
type Verdict uint8

// The verdicts.
const (
	Good    Verdict = iota + 1 // run it on every shard
	Canary                     // run it on one shard and report how that ended
	Wait                       // ask again at Until, or when the coordinator tells of a change
	Refused                    // do not run it before Until
)

// String returns the verdict in the form used on the wire.
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

// Decision is a verdict with the time until which it holds; that of a canary request is the time by
// which it has to end.
type Decision struct {
	Verdict Verdict
	Until   time.Time
}

// Outcome is how a run ended. A VM sends one report for each canary request. For other runs it
// reports crashes only: a success at one upstream does not disprove a crash at another.
type Outcome uint8

// The reports. A run that ended in any other way than a suspected crash has succeeded.
const (
	Succeeded Outcome = iota + 1
	Crashed           // the upstream reset the connection and then refused a new one or was another incarnation
	NotRun
)

// String returns the report in the form used on the wire.
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

// Counts are totals since the start of the table, and what it holds now.
type Counts struct {
	Crashes     uint64 // suspected crashes, the false positives of restarts included
	Lost        uint64 // canary requests without a report
	Quarantines uint64
	Evicted     uint64
	Full        uint64 // requests told to wait because the table was full
	Good        int    // fingerprints known good at the last call
	Quarantined int    // fingerprints refused at the last call
}
