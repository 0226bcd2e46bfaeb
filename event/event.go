// Package event defines the events that a VM logs, and writes them without blocking requests.
//
// The platform is the environment that the VMs run in. It publishes their configuration and the running upstreams in its
// store.
package event

import "time"

// Kind is the type of an event; docs/OPERATIONS.md lists the kinds with their fields.
type Kind uint8

// Event kinds. Those up to RequestAnswered concern a single request.
const (
	RequestRefused   Kind = iota + 1 // a request was refused and has not run
	RequestFailed                    // a request that may have run ended without a successful answer
	PartialAnswer                    // an answer was returned without some of its shards
	AttemptFailed                    // an attempt ended without a successful answer
	HedgeSent                        // a hedge was sent because the attempt in flight is slow
	RequestAbandoned                 // the client disconnected before the answer
	PartCancelled                    // a part of a query was cancelled, because the query was answered without its missing shards
	QueryRelayed                     // another VM answered a query on behalf of this one
	RelayFailed                      // another VM did not accept a query that was relayed to it
	RequestWaiting                   // a request began to wait, because all upstreams of its service are full
	WaitRefused                      // a request was refused because it would wait, or had waited, too long
	RequestAnswered                  // a request was answered in full

	ProcessStarted
	ProcessStopping
	ProcessStopped
	SettingsReloaded  // changed settings of the process are applied
	ProcessReady      // the VM is ready to serve requests
	ConfigAccepted    // a new configuration is in use
	ConfigRejected    // a new configuration is invalid, and the VM keeps the last valid one
	ConfigUnconfirmed // requests with an API key are refused because the configuration may be out of date, or no longer are
	ZoneEvacuated     // operators evacuated a zone, or ended its evacuation
	VMIsolated        // a route cannot be served because other zones are unreachable, or can be served again
	ServerChanged     // an upstream was added, changed, started to drain or was removed
	EntryRejected     // an entry of the platform's store is invalid
	UpstreamDraining  // an upstream said in a response, to this VM or to another one, that it drains
	UpstreamResting   // an upstream asked this VM for no requests for a while
	UpstreamLimited   // an upstream began or ceased to name a limit for the requests of all VMs
	CrashSuspected    // an upstream crashed while running a request
	StoreLost         // the platform's store stopped answering
	StoreRecovered    // the platform's state is available again
	StoreRestored     // the platform's store came back from an older copy of its data
	Confirming        // the VM, which others follow, began to confirm that it knows all changes of the platform, or no longer can
	FollowingPeers    // the VM switched to taking the platform's state from other VMs, or back to the store
	ClientsLimited    // a connection or a request of a client exceeded a bound and was refused or given up
	PeerLost          // a VM that this one connects to stopped sending heartbeats
	PeerFound         // a heartbeat of a new VM was received
	ProcessPaused     // the process was suspended
	Panic             // a task caused a panic, which ended its request, connection or call but not the process
	LinesDropped      // log lines were dropped
	Problem           // an unexpected condition that does not concern a single request

	kindCount
)

var kindNames = [kindCount]string{
	"none", "refused", "failed", "partial", "attempt", "hedged", "abandoned", "part-cancelled", "relayed", "relay-failed", "waiting", "wait-refused", "answered",
	"started", "stopping", "stopped", "reloaded", "ready", "config-accepted", "config-rejected", "config-unconfirmed",
	"zone-evacuated", "isolated", "server-changed", "entry-rejected", "upstream-draining", "upstream-resting", "upstream-limited", "crash-suspected", "store-lost", "store-regained", "store-restored", "confirming", "following", "clients-limited", "peer-lost", "peer-found",
	"paused", "panic", "dropped", "problem",
}

// String returns the kind's name in log lines.
func (k Kind) String() string {
	if k >= kindCount {
		return "unknown"
	}
	return kindNames[k]
}

// Kinds returns all kinds in order.
func Kinds() []Kind {
	list := make([]Kind, 0, kindCount-1)
	for k := Kind(1); k < kindCount; k++ {
		list = append(list, k)
	}
	return list
}

// Key is the name of a field in log lines.
type Key string

// Field names. Each line also has the fields ts, vm, event and seq, the line's sequence number within its VM.
const (
	RequestID     Key = "request"  // ID of the client's request
	Route         Key = "route"    // route name
	Service       Key = "service"  // service or shard name
	Server        Key = "server"   // ID of the upstream
	Zone          Key = "zone"     // availability zone
	Number        Key = "number"   // number of an attempt at its shard, starting at 1; for an answer, the number of further attempts
	Code          Key = "code"     // result code
	Version       Key = "version"  // configuration version that the decision used
	Age           Key = "age"      // age of the input that the decision used
	Elapsed       Key = "elapsed"  // time since the start of the request or attempt
	Remaining     Key = "left"     // attempts beyond the first that the retry budget still allows
	Delay         Key = "after"    // Retry-After, the delay of a hedge, the rest of an upstream, or the time until a removed server is dropped
	MissingShards Key = "missing"  // shards missing from an answer, each with the reason and the upstreams that it waited for
	CoveredShards Key = "covered"  // number of shards in an answer
	Shards        Key = "shards"   // number of shards of the route
	InFlight      Key = "running"  // requests in flight at the VM
	Priority      Key = "priority" // priority of a request, 0 for the most urgent
	Status        Key = "status"   // HTTP status
	Reason        Key = "reason"   // reason for the decision, as text
	Team          Key = "team"     // team that sent the request
	Limit         Key = "limit"    // requests a second that an upstream takes from all VMs, 0 for no limit
	Count         Key = "count"    // number of items that the event is about
	Bytes         Key = "bytes"    // bytes that are held
	Peer          Key = "peer"     // address of another VM
	Address       Key = "address"  // network address
	Error         Key = "error"    // error message
	Revision      Key = "revision" // revision of the platform's store
	Era           Key = "era"      // era of the platform's store, which rises when the store comes back from an older copy
	State         Key = "state"    // state of an upstream, or whether a condition holds

	Fingerprint Key = "fingerprint" // hash of the content of a request
	Stack       Key = "stack"       // stack of a panic
)

// Field is a key and value of a log line.
type Field struct {
	Key   Key
	Value any
}

// F returns a Field.
func F(k Key, v any) Field {
	return Field{k, v}
}

// Recorder records events. It never blocks and is safe for concurrent use.
type Recorder interface {
	Record(k Kind, fields ...Field)
}

// Discard is a Recorder that discards all events.
type Discard struct{}

// Record discards the event.
func (Discard) Record(Kind, ...Field) {}

// Limits of the log.
const (
	// maxQueuedLines bounds the lines that wait for the writer, about 1 MB. Lines about answered requests are queued
	// only while the queue is less than half full.
	maxQueuedLines = 4096

	// maxLinesPerSecond bounds the lines per second of each kind. A VM answers about 25 requests per second.
	maxLinesPerSecond = 100

	// maxAnsweredPerSecond bounds the lines about answered requests, to leave room for failed ones.
	maxAnsweredPerSecond = 50

	// flushInterval is how long lines are batched for one write.
	flushInterval = 200 * time.Millisecond
)
