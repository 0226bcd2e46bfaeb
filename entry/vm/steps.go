package vm

// Step is a point that a request passes on its way through the tier.
type Step uint8

// The steps in their order. A sub-request passes Queued and Sent at the owner VM of its upstream,
// the others at the VM that accepted the request.
const (
	Accepted       Step = iota + 1 // decoded and let in
	Permitted                      // the coordinator or the permit allows it to run
	SnapshotPinned                 // the shard map is chosen
	Queued                         // at the owner VM, before the queue
	Sent                           // at the owner VM, before the call to the upstream
	Returned                       // at the owner VM, after the call
	Merging                        // a part reaches the query or order that waits for it
	Answered                       // the outcome is decided and not yet written to the caller
	LatePart                       // a part came for an attempt that nobody waits for any more
)

var stepNames = [...]string{"none", "accepted", "permitted", "snapshot-pinned", "queued", "sent", "returned", "merging", "answered", "late-part"}

// String returns the step's name.
func (s Step) String() string {
	if int(s) >= len(stepNames) {
		return "unknown"
	}
	return stepNames[s]
}

// Watcher learns of the steps of requests; tests use it to place a fault at one of them.
type Watcher interface {
	// Reached is called by the worker that handles the request; request is empty where it is not known.
	Reached(step Step, request string)
}

// reached tells the watcher, if there is one.
func (vm *VM) reached(s Step, request string) {
	if vm.observe.Watcher != nil {
		vm.observe.Watcher.Reached(s, request)
	}
}
