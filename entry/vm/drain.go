package vm

import (
	"context"

	"github.com/go-kit/log/level"

	"pistachioshore.dev/pool"
	"pistachioshore.dev/shutdown"
)

// Drain goes through the graceful shutdown up to the point where nothing is under way any more, or
// its bounds are over. The VM must not be given new requests afterwards.
func (vm *VM) Drain(ctx context.Context) {
	st := vm.stopping.Start(vm.now())
	for {
		vm.act(st.Actions)
		if st.Phase >= shutdown.Closing {
			return
		}
		if !pool.SleepUntil(ctx, st.NextCheck) {
			return
		}
		now := vm.now()
		st = vm.stopping.Advance(now, shutdown.Progress{
			OwnRequests:    vm.admission.InFlight() + vm.permits.Running(),
			RunningAtOwned: vm.owned.RunningJobs(now),
		})
	}
}

// act does what the shutdown asks for. Ownership is given up together with the announcement,
// because peers look for the new owner VM as soon as they hear of it.
func (vm *VM) act(actions []shutdown.Action) {
	for _, a := range actions {
		_ = level.Info(vm.observe.Log).Log("msg", "shutdown", "action", a)
		switch a {
		case shutdown.AnnounceLeaving:
			vm.fleet.Leave(vm.now())
			vm.control.Submit(func() { vm.sendHeartbeat(vm.now()) })
		case shutdown.RefuseRequests:
			// From here on an order can only find the outcome of its first run, or that it never ran.
			vm.permits.RevokeAll(vm.now())
		}
	}
}

// accepts reports whether new requests are taken.
func (vm *VM) accepts() bool {
	return vm.stopping.Phase() < shutdown.HandingOver
}
