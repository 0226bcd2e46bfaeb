package audit

import (
	"net/netip"
	"time"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/record"
	"pistachioshore.dev/result"
)

// History is everything that the checks compare. Its times come from one clock.
type History struct {
	Catalog              *catalog.Config // holds every snapshot that an answer may name
	Records              func(shard catalog.Shard, snapshot uint64) []record.Record
	SnapshotOf           func(r record.Record) (version uint64, ok bool)
	Queries              []Query
	Orders               []Order
	RevisionObservations []RevisionObservation
	Upstreams            []UpstreamCounts
	Drains               []Drain
	Publications         []Publication
	PlannedShutdowns     []PlannedShutdown
}

// Call is what every request has in common.
type Call struct {
	Caller     string
	VM         netip.AddrPort
	SentAt     time.Time
	ReturnedAt time.Time
	RequestID  string      // id that the answer or refusal names; empty if none came
	Code       result.Code // zero if the connection broke without a response
	NotSent    bool        // the VM refused the connection
}

// broken reports whether the VM accepted the connection and gave no response.
func (c Call) broken() bool {
	return c.Code == 0 && !c.NotSent
}

// Query is one look-up with its outcome.
type Query struct {
	Call
	Groups []string
	Filter record.Filter
	Limit  int     // most records asked for; the limit of the configuration if zero
	Answer *Answer // nil for a refusal
}

// Answer is the content of an answer.
type Answer struct {
	Snapshot uint64
	Revision uint64
	Covered  []string // names of shards
	Missing  []string
	Records  []record.Record
	Matched  int
}

// Order is one try at a non-idempotent request; retries with one permit are orders of their own.
type Order struct {
	Call
	PermitID  string // any name that is unique to the permit
	Operation string
	Key       string
	Quantity  int
	Receipt   string // empty unless it ran
}

// RevisionObservation is a configuration revision that a VM showed, for example in its status.
type RevisionObservation struct {
	VM         netip.AddrPort
	SentAt     time.Time
	ReturnedAt time.Time
	Revision   uint64
}

// UpstreamCounts is what one upstream counted.
type UpstreamCounts struct {
	Name                 string
	Zone                 string
	ColdLimit            int
	ConnectionLimit      int // no limit if zero
	PeakConnections      int
	ConnectionsOverLimit int // connections closed because of the limit
	DroppedEntries       int // entries that the lists below lack
	Starts               []Start
	RefusedArrivals      []Arrival // work refused at once, without a start
	Effects              []Effect
	PoisonCrashes        []Crash
}

// Start is one start of an attempt.
type Start struct {
	RequestID string // REQUEST or REQUEST/SHARD
	Attempt   int
	Shard     string // empty for an order
	Snapshot  uint64
	At        time.Time
	InFlight  int // this one included
	Cold      bool
	Served    bool // the work was finished
}

// Arrival is work that an upstream received.
type Arrival struct {
	RequestID string
	At        time.Time
}

// Effect is what one order changed.
type Effect struct {
	RequestID string
	Operation string
	Key       string
	Quantity  int
	Receipt   string
	At        time.Time
}

// Crash is a restart that a poison request caused.
type Crash struct {
	At          time.Time
	RequestID   string
	Fingerprint string
}

// Drain is a time in which a zone or an upstream must not receive new work.
type Drain struct {
	Property Property  // ZoneOut or Draining
	Zone     string    // zone that is out, if Property is ZoneOut
	Upstream string    // upstream that drains, if Property is Draining
	From     time.Time // publication, as far as the VMs on that side could reach the platform
	To       time.Time // publication of the end; zero if it does not end
}

// Publication is a configuration that the platform began to show.
type Publication struct {
	Revision       uint64
	At             time.Time
	UnreachableVMs []netip.AddrPort // VMs that neither the platform nor a peer that knows could reach
}

// PlannedShutdown is a planned stop of a VM.
type PlannedShutdown struct {
	VM   netip.AddrPort
	From time.Time
	To   time.Time
}
