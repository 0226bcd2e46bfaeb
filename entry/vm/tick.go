package vm

import (
	"time"

	"pistachioshore.dev/fleet"
	"pistachioshore.dev/shutdown"
)

// now returns the current time, including its monotonic clock reading, for use with the tables.
func (vm *VM) now() time.Time {
	return time.Now()
}

// tick advances the time-dependent tables and schedules the next tick.
func (vm *VM) tick() {
	now := vm.now()
	s := fleet.DefaultSettings()
	vm.applyChanges(now, vm.fleet.Tick(now))
	vm.contacts.ticked(now)
	vm.follow(vm.owned.Tick(now))
	vm.permits.Expire(now)
	if vm.contacts.heartbeatDue(now, s.HeartbeatInterval) {
		vm.sendHeartbeat(now)
	}
	vm.ticks.Schedule(now.Add(s.TickInterval), vm.tick)
}

// tierStart is added to the takeover delay so that the other VMs of a tier that starts as a whole can
// acquire their upstreams. Without it, the first queries find some upstreams without an owner.
const tierStart = 500 * time.Millisecond

// acquireTime limits how long readiness waits for the upstreams that this VM should own. After that,
// the VM serves queries from the other replicas.
const acquireTime = 5 * time.Second

// Ready reports whether the VM can take requests. It needs a configuration, which it has compared with
// those of the listed VMs, and the upstreams that it should own, with a limit on both waits. It must
// also be neither shutting down nor drained.
func (vm *VM) Ready() bool {
	now := vm.now()
	age := now.Sub(vm.started)
	asked := vm.contacts.complete() || age > peerAskTime
	return vm.catalog.Current() != nil && asked && (age > acquireTime || vm.acquired()) &&
		vm.stopping.Phase() == shutdown.Serving && vm.contacts.drainedFor(now) == 0
}

// acquired reports whether the VM has taken ownership of every upstream that it should own.
func (vm *VM) acquired() bool {
	for _, o := range vm.fleet.Ownerships() {
		if !o.Acquired {
			return false
		}
	}
	return vm.now().Sub(vm.started) >= fleet.DefaultSettings().TakeoverDelay+tierStart
}
