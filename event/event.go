// Package event names everything that a VM logs and writes it without ever blocking a request.
package event

import "time"

// Kind is something that a VM decided or noticed; docs/OPERATIONS.md lists the kinds with their fields.
type Kind uint8

// The kinds. Those up to Answered touch one request.
const (
	RequestRefused   Kind = iota + 1 // a request was refused without being run
	RequestFailed                    // a request ended without a good answer after it may have run
	PartialAnswer                    // an answer lacks shards
	AttemptFailed                    // an attempt ended otherwise than with a good answer
	HedgeSent                        // a second attempt was sent because the first is late
	RequestAbandoned                 // the client left
	QueryRelayed                     // another VM answered a query for this one
	RelayFailed                      // another VM did not take a query that was passed on to it
	RequestAnswered                  // a request was answered in full

	ProcessStarted
	ProcessStopping
	ProcessStopped
	SettingsReloaded
	ProcessReady
	ConfigAccepted
	ConfigRejected
	ZoneEvacuated
	VMIsolated     // other zones cannot be reached, so that a route cannot be served
	ServerChanged  // an upstream was added, changed, began to drain or went
	EntryRejected  // an entry of the platform's store could not be used
	CrashSuspected // an upstream crashed while it ran a request
	StoreLost
	StoreRecovered
	FollowingPeers // the state of the platform comes from other VMs, or from the store again
	PeerLost
	PeerFound
	ProcessPaused // the process stood still
	LinesDropped  // lines were left out
	Problem       // something unexpected that touches no single request

	kinds
)

var kindNames = [kinds]string{
	"none", "refused", "failed", "partial", "attempt", "hedged", "abandoned", "relayed", "relay-failed", "answered",
	"started", "stopping", "stopped", "reloaded", "ready", "config-accepted", "config-rejected",
	"zone-evacuated", "isolated", "server-changed", "entry-rejected", "crash-suspected", "store-lost", "store-regained", "following", "peer-lost", "peer-found",
	"paused", "dropped", "problem",
}

// String returns the kind's name in the lines.
func (k Kind) String() string {
	if k >= kinds {
		return "unknown"
	}
	return kindNames[k]
}

// Kinds returns all kinds in their order.
func Kinds() []Kind {
	list := make([]Kind, 0, kinds-1)
	for k := Kind(1); k < kinds; k++ {
		list = append(list, k)
	}
	return list
}

// Key is the name of a field.
type Key string

// The fields. Besides them each line has ts, vm, event and seq, which counts the lines of its VM.
const (
	RequestID     Key = "request"  // id of the client's attempt
	Route         Key = "route"    // name of the route
	Service       Key = "service"  // service or shard
	Server        Key = "server"   // id of the upstream
	Zone          Key = "zone"     // availability zone
	Number        Key = "number"   // number of the attempt at its shard, from 1
	Code          Key = "code"     // result code
	Version       Key = "version"  // configuration version that decided
	Age           Key = "age"      // how old the deciding input is
	Elapsed       Key = "elapsed"  // since the request or attempt began
	Remaining     Key = "left"     // time left for the request
	Delay         Key = "after"    // Retry-After, or the delay of a hedge
	MissingShards Key = "missing"  // shards that an answer lacks, each with its reason
	CoveredShards Key = "covered"  // shards in the answer
	Shards        Key = "shards"   // shards of the route
	InFlight      Key = "running"  // requests in flight at this VM
	Status        Key = "status"   // HTTP status
	Reason        Key = "reason"   // what decided, in words
	Count         Key = "count"    // how many
	Peer          Key = "peer"     // address of another VM
	Address       Key = "address"  // network address
	Error         Key = "error"    // text of an error
	Revision      Key = "revision" // revision of the platform's store
	State         Key = "state"    // condition of an upstream

	Fingerprint Key = "fingerprint" // of what a request asks for
)

// Field is one value of a line.
type Field struct {
	Key   Key
	Value any
}

// F returns a field.
func F(k Key, v any) Field {
	return Field{k, v}
}

// Recorder takes events; it never blocks and may be called by several goroutines.
type Recorder interface {
	Record(k Kind, fields ...Field)
}

// Discard is a Recorder that drops everything.
type Discard struct{}

// Record drops the event.
func (Discard) Record(Kind, ...Field) {}

// Bounds of the log.
const (
	// queueLimit is the number of lines that wait for the writer, about 1 MB.
	queueLimit = 4096

	// perSecond is the number of lines of one kind a second; a VM answers about 25 requests a second.
	perSecond = 100

	// answeredPerSecond leaves the room to the requests that went wrong.
	answeredPerSecond = 50

	// flushEvery gathers lines for one write.
	flushEvery = 200 * time.Millisecond
)
