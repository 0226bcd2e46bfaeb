// Package shutdown orders the steps of a graceful shutdown and bounds each of them.
package shutdown

import "time"

// Phase is a step of the shutdown.
type Phase uint8

// The phases in their order.
const (
	Serving        Phase = iota
	Announcing           // not ready any more, but still accepting for the platform's load balancer
	HandingOver          // refusing new requests, giving up ownership
	Draining             // waiting for the VM's own queries and orders
	EndingRequests       // waiting for own requests that were told to end
	Closing              // closing connections and flushing
	Stopped
)

var phaseNames = [...]string{"serving", "announcing", "handing-over", "draining", "ending", "closing", "stopped"}

// String returns the phase's name.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// Action is something that the VM does once.
type Action uint8

// The actions in their order.
const (
	ClearReadiness     Action = iota + 1
	AnnounceLeaving           // set the leaving flag in heartbeats
	StopIssuingPermits        // issue no new permits
	RefuseRequests            // refuse new requests as not run
	HandOverUpstreams         // return queued work as moved and hand over each upstream when its work has finished
	ForceHandover             // hand over the upstreams left, with the count of their running work
	EndOwnRequests            // answer own queries with what they have, and own orders as may have run
	RevokePermits             // make unconsumed permits void
	ClosePeers
	FlushTelemetry // traces and metrics
	Exit
)

var actionNames = [...]string{
	"none", "readiness-off", "announce-leaving", "stop-permits", "refuse-new", "hand-over",
	"hand-over-now", "end-own", "revoke-permits", "close-peers", "flush", "exit",
}

// String returns the action's name.
func (a Action) String() string {
	if int(a) >= len(actionNames) {
		return "unknown"
	}
	return actionNames[a]
}

// Progress are what a VM still has to do.
type Progress struct {
	OwnRequests      int  // queries and orders in flight that this VM accepted, or that use its permits
	RunningAtOwned   int  // work at upstreams that this VM owns
	PendingHandovers int  // upstreams whose handover message is not sent yet
	Flushed          bool // Flush is done
}

// Step is what to do now and when to look again.
type Step struct {
	Phase     Phase
	Actions   []Action
	NextCheck time.Time // zero before the start and once stopped
}
