package intake

import "time"

// Limits bounds what a VM holds for its clients.
type Limits struct {
	Bytes       int64         // heads, bodies and responses
	Connections []int         // connections of each class of listeners
	Stuck       []int         // stuck connections of each class
	Wait        time.Duration // longest wait for bytes
	Stall       time.Duration // time without progress after which a connection is stuck
}

// Classes of listeners.
const (
	Front    = iota // requests of clients
	Internal        // the first class of internal listeners
)

const (
	// memoryShare is the divisor of a VM's memory that gives the bytes held for clients. The Go runtime may use half of
	// the memory; the rest of that half is for the state, for answers of upstreams and for garbage.
	memoryShare = 8

	// connectionsPerMB bounds connections by memory. A connection takes about 24 KB for its goroutines and buffers.
	connectionsPerMB = 4

	// reservedFDs is the number of descriptors that the platform reserves for files.
	reservedFDs = 200

	// internalDivisor is the divisor of the front's connections that gives those of another listener. The smallest VM must
	// be able to serve as a seed, to which all VMs of a tier of some 300 connect when it starts.
	internalDivisor = 2

	// internalFDDivisor is the divisor of half of the descriptors that gives the most connections of another listener, so
	// that those of all listeners leave some for upstreams, other VMs and the store.
	internalFDDivisor = 4

	// stuckDivisor is the divisor of a listener's connections that gives those that may be stuck.
	stuckDivisor = 4

	minConnections = 8

	defaultWait  = 250 * time.Millisecond
	defaultStall = time.Second
)

// DefaultLimits returns the limits for a VM with the given memory and descriptors and the given number of listeners.
// An argument of 0 states no limit. Without any there are no bounds, and the result is false.
func DefaultLimits(memoryMB, maxFDs, listeners int) (Limits, bool) {
	if memoryMB <= 0 && maxFDs <= 0 {
		return Limits{}, false
	}
	front := memoryMB * connectionsPerMB
	internal := front / internalDivisor
	if maxFDs > 0 {
		// The other half is for the other listeners, upstreams, other VMs and the store.
		byFDs := (maxFDs - min(reservedFDs, maxFDs/4)) / 2
		if memoryMB <= 0 || byFDs < front {
			front = byFDs
		}
		internal = byFDs / internalFDDivisor
		if memoryMB > 0 {
			internal = min(internal, memoryMB*connectionsPerMB/internalDivisor)
		}
	}
	l := Limits{Bytes: int64(memoryMB) << 20 / memoryShare, Wait: defaultWait, Stall: defaultStall}
	for i := range listeners {
		n := front
		if i >= Internal {
			n = internal
		}
		l.SetConnections(i, n)
	}
	return l, true
}

// SetConnections bounds the connections of a class, and derives the bound on those that are stuck.
func (l *Limits) SetConnections(class, n int) {
	for len(l.Connections) <= class {
		l.Connections, l.Stuck = append(l.Connections, 0), append(l.Stuck, 0)
	}
	l.Connections[class] = max(n, minConnections)
	l.Stuck[class] = max(l.Connections[class]/stuckDivisor, minConnections/2)
}
