package vm

// Step is a stage in the processing of a request.
type Step uint8

// The steps in processing order. A sub-request reaches StepQueued, StepSent and StepReturned on the
// owner VM of its upstream, and the other steps on the VM that accepted the request.
const (
	StepAccepted       Step = iota + 1 // decoded and admitted
	StepPermitted                      // allowed to run by the coordinator and, for an order, by its permit
	StepSnapshotPinned                 // the snapshot and its shard map are selected
	StepQueued                         // on the owner VM, before the sub-request is queued
	StepSent                           // on the owner VM, before the call to the upstream
	StepReturned                       // on the owner VM, after the call
	StepMerging                        // the result of an attempt reaches its query or order
	StepAnswered                       // the outcome is decided but not yet written to the caller
	StepLatePart                       // a result arrived for an attempt that is no longer pending
)

var stepNames = [...]string{"none", "accepted", "permitted", "snapshot-pinned", "queued", "sent", "returned", "merging", "answered", "late-part"}

// String returns the step's name.
func (s Step) String() string {
	if int(s) >= len(stepNames) {
		return "unknown"
	}
	return stepNames[s]
}

// StepObserver is notified of each step of each request; tests use it to inject a fault at a given step.
type StepObserver interface {
	// ObserveStep is called on the worker that handles the request. The request ID is empty if unknown.
	ObserveStep(step Step, requestID string)
}

// notifyStep notifies the step observer, if there is one.
func (vm *VM) notifyStep(step Step, requestID string) {
	if vm.instrumentation.StepObserver != nil {
		vm.instrumentation.StepObserver.ObserveStep(step, requestID)
	}
}
