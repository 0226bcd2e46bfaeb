package vm

// Step is a point that a request passes on its way through the tier.
type Step uint8

// The steps in their order. A sub-request passes Queued and Sent at the owner VM of its upstream,
// the others at the VM that accepted the request.
const (
	StepAccepted       Step = iota + 1 // decoded and let in
	StepPermitted                      // the coordinator or the permit allows it to run
	StepSnapshotPinned                 // the shard map is chosen
	StepQueued                         // at the owner VM, before the queue
	StepSent                           // at the owner VM, before the call to the upstream
	StepReturned                       // at the owner VM, after the call
	StepMerging                        // a part reaches the query or order that waits for it
	StepAnswered                       // the outcome is decided and not yet written to the caller
	StepLatePart                       // a part came for an attempt that nobody waits for any more
)

var stepNames = [...]string{"none", "accepted", "permitted", "snapshot-pinned", "queued", "sent", "returned", "merging", "answered", "late-part"}

// String returns the step's name.
func (s Step) String() string {
	if int(s) >= len(stepNames) {
		return "unknown"
	}
	return stepNames[s]
}

// StepObserver learns of the steps of requests; tests use it to place a fault at one of them.
type StepObserver interface {
	// ObserveStep is called by the worker that handles the request; request is empty where it is not known.
	ObserveStep(step Step, request string)
}

// reached tells the watcher, if there is one.
func (vm *VM) reached(s Step, request string) {
	if vm.observe.StepObserver != nil {
		vm.observe.StepObserver.ObserveStep(s, request)
	}
}
