// Package transport defines the interfaces by which VMs reach upstreams, other VMs and the platform.
package transport

import (
	"context"
	"net"
	"net/netip"
	"time"

	"pistachioshore.dev/record"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// DialFunc opens one network connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Connector opens connections to upstreams.
type Connector interface {
	// Connect opens one connection; an error means that nothing was sent.
	Connect(ctx context.Context, address netip.AddrPort) (Conn, error)
}

// Canceller cancels calls that run at an upstream, over a separate connection.
type Canceller interface {
	// Cancel asks the upstream to stop a call; the connection that carries the call stays open.
	Cancel(ctx context.Context, address netip.AddrPort, requestID string, attempt int) error
}

// Conn is one connection to an upstream; it carries one call at a time and is never reopened.
type Conn interface {
	// Do runs one call; the code of the reply tells whether the upstream may have started it.
	Do(ctx context.Context, call Call) Reply
	// OnRemoteClose registers a function that is called once when the upstream has closed or reset the
	// connection; it must not block.
	OnRemoteClose(fn func())
	// Close closes the connection.
	Close() error
}

// Call is one sub-request as sent to an upstream.
type Call struct {
	RequestID string    // the same for all attempts of the sub-request
	Attempt   int       // from 1; identifies the call together with RequestID
	Deadline  time.Time // the upstream does not start the call after this time

	// Parameters of a search.
	Snapshot uint64 // version of the records to search
	Shard    string
	Filter   record.Filter
	Limit    int // maximum number of records; no limit if zero

	// Parameters of a non-idempotent operation.
	Operation string // empty for a search
	Key       string // key of the record to operate on
	Quantity  int
}

// Reply is the outcome of a call.
type Reply struct {
	Code        result.Code
	Incarnation string // ID that the upstream changes at each restart; empty if it did not answer
	Snapshot    uint64 // version that Records come from
	Records     []record.Record
	Matched     int    // total number of matching records, including those cut off by the limit
	Receipt     string // the upstream's ID of what an operation changed; empty for a search
}

// Platform reads what the platform publishes.
type Platform interface {
	// Config returns the published configuration. If wait is positive, it blocks until the configuration
	// differs from the one with the given tag or the time has passed.
	Config(ctx context.Context, tag string, wait time.Duration) (PublishedConfig, error)
	// VMs returns the platform's list of VMs, which may be out of date.
	VMs(ctx context.Context) (wire.VMList, error)
}

// PublishedConfig is a value of the configuration service; Tag identifies its version, as an HTTP entity tag
// does. Value is set only if Changed is; Changed is false if a wait ended without a new version.
type PublishedConfig struct {
	Tag     string
	Value   []byte
	Changed bool
}

// PeerMessenger sends messages to other VMs.
type PeerMessenger interface {
	// Connect keeps a connection to a VM open until Disconnect is called.
	Connect(vm netip.AddrPort)
	// Disconnect closes the connection to a VM.
	Disconnect(vm netip.AddrPort)
	// Send queues a message without blocking; it returns false if the message will not be sent.
	Send(vm netip.AddrPort, message *wire.Envelope) bool
	// SendAll queues a message for several VMs and encodes it once.
	SendAll(vms []netip.AddrPort, message *wire.Envelope)
}
