// Package transport states how VMs reach upstreams, other VMs and the platform.
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

// Canceller withdraws calls that run at an upstream, over a connection of its own.
type Canceller interface {
	// Cancel asks the upstream to stop a call; the connection of the call survives.
	Cancel(ctx context.Context, address netip.AddrPort, requestID string, attempt int) error
}

// Conn is one connection to an upstream; it carries one call at a time and is never reopened.
type Conn interface {
	// Do runs one call; the reply's code tells whether the upstream may have started it.
	Do(ctx context.Context, call Call) Reply
	// OnRemoteClose has fn called once when the other end has closed or reset the connection; fn must not block.
	OnRemoteClose(fn func())
	// Close ends the connection.
	Close() error
}

// Call is one sub-request as an upstream sees it.
type Call struct {
	RequestID string
	Attempt   int
	Deadline  time.Time // the upstream does not start the call after it
	Snapshot  uint64
	Shard     string
	Filter    record.Filter
	Limit     int
	Operation string // set for a non-idempotent call
	Key       string
	Quantity  int
}

// Reply is the outcome of a call.
type Reply struct {
	Code        result.Code
	Incarnation string // empty if the upstream did not answer
	Snapshot    uint64
	Records     []record.Record
	Matched     int
	Receipt     string
}

// Platform reads what the platform publishes.
type Platform interface {
	// Config returns the published configuration. With wait it blocks until the value differs
	// from the one with the given tag, or until wait is over.
	Config(ctx context.Context, tag string, wait time.Duration) (PublishedConfig, error)
	// VMs returns the lagging list of VMs.
	VMs(ctx context.Context) (wire.VMList, error)
}

// PublishedConfig is a value of the configuration service with the tag that names its version.
type PublishedConfig struct {
	Tag     string
	Value   []byte
	Changed bool
}

// PeerMessenger sends messages to other VMs.
type PeerMessenger interface {
	// Connect keeps a connection to a VM open until Forget.
	Connect(vm netip.AddrPort)
	// Disconnect closes the connection to a VM.
	Disconnect(vm netip.AddrPort)
	// Send queues a message without blocking; false means that it was not sent.
	Send(vm netip.AddrPort, message *wire.Envelope) bool
	// SendAll queues a message for several VMs and encodes it once.
	SendAll(vms []netip.AddrPort, message *wire.Envelope)
}
