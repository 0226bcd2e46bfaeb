package vm

import (
	"context"

	"github.com/go-kit/log/level"

	"pistachioshore.dev/pool"
	"pistachioshore.dev/shutdown"
)

// Drain runs the graceful shutdown until no work is in flight, the time limits of its phases have
// passed, or ctx ends. The VM must not receive new requests afterwards.
func (vm *VM) Drain(ctx context.Context) {
	step := vm.shutdown.Start(vm.now())
	for {
		vm.performActions(step.Actions)
		if step.Phase >= shutdown.Closing {
			return
		}
		if !pool.SleepUntil(ctx, step.NextCheck) {
			return
		}
		now := vm.now()
		step = vm.shutdown.Advance(now, shutdown.Progress{
			OwnRequests:    vm.admission.InFlight() + vm.permits.Running(),
			RunningAtOwned: vm.upstreams.RunningJobs(now),
		})
	}
}

// performActions carries out the shutdown actions that the VM itself handles. It gives up ownership
// together with the leaving announcement, because peers look for the new owner VM as soon as they
// receive it.
func (vm *VM) performActions(actions []shutdown.Action) {
	for _, a := range actions {
		_ = level.Info(vm.instrumentation.Log).Log("msg", "shutdown", "action", a)
		switch a {
		case shutdown.AnnounceLeaving:
			vm.fleet.Leave(vm.now())
			vm.controlPool.Submit(func() { vm.sendHeartbeat(vm.now()) })
		case shutdown.RefuseRequests:
			// From here on, an order gets the outcome of its first run or a reply that it never ran.
			vm.permits.RevokeAll(vm.now())
		}
	}
}

// acceptsRequests reports whether the VM accepts new requests.
func (vm *VM) acceptsRequests() bool {
	return vm.shutdown.Phase() < shutdown.HandingOver
}
