package audit

import (
	"net/netip"
	"time"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/record"
	"pistachioshore.dev/result"
)

// History holds what callers, VMs and upstreams recorded during a run, as input to the checks. All its times come
// from one clock.
type History struct {
	Catalog              *catalog.Config                                            // contains every snapshot that an answer may name
	Records              func(shard catalog.Shard, snapshot uint64) []record.Record // records of a shard in a snapshot
	SnapshotOf           func(r record.Record) (version uint64, ok bool)            // snapshot version stated in a record; false if it states none
	Queries              []Query
	Orders               []Order
	RevisionObservations []RevisionObservation
	Upstreams            []UpstreamCounts
	Drains               []Drain
	Publications         []Publication
	PlannedShutdowns     []PlannedShutdown
}

// Call holds the data that look-ups and orders have in common.
type Call struct {
	Caller     string
	VM         netip.AddrPort
	SentAt     time.Time
	ReturnedAt time.Time
	RequestID  string      // from the answer or refusal, empty if there was none
	Code       result.Code // zero if there was no response
	NotSent    bool        // the VM refused the connection
}

// connectionLost reports whether the VM accepted the connection but sent no response.
func (c Call) connectionLost() bool {
	return c.Code == 0 && !c.NotSent
}

// Query is a look-up and its outcome.
type Query struct {
	Call
	Groups []string
	Filter record.Filter
	Limit  int     // maximum number of records; zero means the limit of the configuration
	Answer *Answer // nil for a refusal, or if there was no response
}

// Answer is what the tier returned for a look-up.
type Answer struct {
	Snapshot uint64   // snapshot version that the records are from
	Revision uint64   // configuration revision that the VM used
	Covered  []string // names of the shards whose records are included
	Missing  []string // names of the shards whose records are missing
	Records  []record.Record
	Matched  int // matching records in the covered shards, including those beyond the limit
}

// Order is one attempt at a non-idempotent request. Each retry with the same permit is a separate Order.
type Order struct {
	Call
	PermitID  string // identifies the permit, a single-use token that allows one execution
	Operation string // what to do with the record, such as place-order
	Key       string // key of the record
	Quantity  int
	Receipt   string // ID of the effect at the upstream; empty unless the order ran
}

// RevisionObservation is a configuration revision that a VM reported, for example in its status.
type RevisionObservation struct {
	VM         netip.AddrPort
	SentAt     time.Time
	ReturnedAt time.Time
	Revision   uint64
}

// UpstreamCounts holds the limits of one upstream and what it recorded.
type UpstreamCounts struct {
	Name                 string
	Zone                 string
	ColdLimit            int
	ConnectionLimit      int // zero means no limit
	PeakConnections      int
	ConnectionsOverLimit int // connections closed because of the limit
	DroppedEntries       int // entries missing from the lists below because of their length limit
	Starts               []Start
	RefusedArrivals      []Arrival // requests refused on arrival, without a start
	Effects              []Effect
	PoisonCrashes        []Crash
}

// Start is the start of an attempt at an upstream.
type Start struct {
	RequestID string // REQUEST for an order, REQUEST/SHARD for a sub-request
	Attempt   int    // number of the attempt
	Shard     string // empty for an order
	Snapshot  uint64
	At        time.Time
	InFlight  int // attempts running at the upstream, including this one
	Cold      bool
	Served    bool // the attempt completed
}

// Arrival is a request that an upstream received.
type Arrival struct {
	RequestID string
	At        time.Time
}

// Effect is the change that one order made at an upstream.
type Effect struct {
	RequestID string
	Operation string
	Key       string
	Quantity  int
	Receipt   string
	At        time.Time
}

// Crash is the restart of an upstream caused by a poison request, which crashes each upstream that runs it.
type Crash struct {
	At          time.Time
	RequestID   string
	Fingerprint string // identifies requests with the same content
}

// Drain is a period in which a zone or an upstream must not receive new work.
type Drain struct {
	Property Property  // ZoneDrain or UpstreamDrain
	Zone     string    // drained zone, if Property is ZoneDrain
	Upstream string    // draining upstream, if Property is UpstreamDrain
	From     time.Time // publication, or when the VMs concerned could first read it from the platform
	To       time.Time // publication of the end; zero if the drain does not end
}

// Publication is a configuration revision that the platform started to serve.
type Publication struct {
	Revision       uint64
	At             time.Time
	UnreachableVMs []netip.AddrPort // VMs that could reach neither the platform nor a peer with the revision
}

// PlannedShutdown is the period in which a VM shuts down as planned.
type PlannedShutdown struct {
	VM   netip.AddrPort
	From time.Time
	To   time.Time
}
