package vm

import (
	"time"

	"pistachioshore.dev/fleet"
	"pistachioshore.dev/shutdown"
)

// now returns the time for the tables, with its monotonic reading.
func (vm *VM) now() time.Time {
	return time.Now()
}

// tick moves the tables on and arms the next tick.
func (vm *VM) tick() {
	now := vm.now()
	s := fleet.DefaultSettings()
	vm.applyChanges(now, vm.fleet.Tick(now))
	vm.follow(vm.owned.Tick(now))
	vm.permits.Expire(now)
	if vm.contacts.heartbeatDue(now, s.Heartbeat) {
		vm.sendHeartbeat(now)
	}
	vm.timers.At(now.Add(s.Tick), vm.tick)
}

// Ready reports whether a configuration is in force that the listed VMs were asked about, the
// takeover delay has passed, and the VM is in service.
func (vm *VM) Ready() bool {
	now := vm.now()
	age := now.Sub(vm.started)
	asked := vm.contacts.complete() || age > peerAskTime
	return vm.catalog.InForce() != nil && asked && age >= fleet.DefaultSettings().Takeover &&
		vm.stopping.Phase() == shutdown.Serving && vm.contacts.drainedFor(now) == 0
}
