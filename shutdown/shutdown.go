// Package shutdown sequences the phases of a graceful shutdown and bounds the duration of each.
//
// In a tier where each upstream has an owner VM, through which all requests to it go, a VM hands over the upstreams that
// it owns before it stops. A VM of a tier without ownership or permits ignores the actions that concern them.
package shutdown

import "time"

// Phase is a phase of the shutdown.
type Phase uint8

// Phases, in order.
const (
	Serving        Phase = iota // no shutdown has started
	Announcing                  // unready, but still accepting requests that the platform's load balancer sends
	HandingOver                 // refusing new requests and handing over owned upstreams
	Draining                    // waiting for the VM's own queries and orders
	EndingRequests              // waiting for own requests that were told to end early
	Closing                     // closing connections and flushing telemetry
	Stopped                     // nothing is left to do
)

var phaseNames = [...]string{"serving", "announcing", "handing-over", "draining", "ending", "closing", "stopped"}

// String returns the phase's name.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// Action is an action that the VM has to perform once.
type Action uint8

// Actions, in order.
const (
	ClearReadiness     Action = iota + 1 // report the VM as unready to the load balancer
	AnnounceLeaving                      // set the leaving flag in heartbeats
	StopIssuingPermits                   // issue no more permits, each of which lets a caller run one order
	RefuseRequests                       // refuse new requests with a code that says that they have not run
	HandOverUpstreams                    // return queued work with the code owner-moved, and hand over each upstream when its running work has finished
	ForceHandover                        // hand over the remaining upstreams, with the number of their running requests
	EndOwnRequests                       // answer own queries with partial results, and own orders with a code that says that they may have run
	RevokePermits                        // revoke permits that were not used
	ClosePeers                           // close the connections to other VMs
	FlushTelemetry                       // export the remaining traces and metrics
	Exit                                 // end the process
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

// Progress is the work that a VM still has to finish.
type Progress struct {
	OwnRequests      int  // queries and orders in flight that this VM accepted or that use its permits
	RunningAtOwned   int  // requests running at upstreams that this VM owns
	PendingHandovers int  // upstreams whose handover message has not been sent yet
	Flushed          bool // FlushTelemetry has completed
}

// Step holds the actions to perform now and the time of the next check.
type Step struct {
	Phase     Phase     // current phase
	Actions   []Action  // actions to perform, in order
	NextCheck time.Time // when to call Advance again at the latest; zero before the start and once stopped
}
