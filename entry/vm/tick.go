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
	vm.contacts.ticked(now)
	vm.follow(vm.owned.Tick(now))
	vm.permits.Expire(now)
	if vm.contacts.heartbeatDue(now, s.HeartbeatInterval) {
		vm.sendHeartbeat(now)
	}
	vm.ticks.Schedule(now.Add(s.TickInterval), vm.tick)
}

// tierStart is the time after the takeover delay in which the other VMs of a tier that starts as a
// whole acquire their upstreams; without it the first queries find some of them without an owner.
const tierStart = 500 * time.Millisecond

// acquireTime bounds the wait of readiness for the upstreams that this VM owns: a VM that waits
// longer for an upstream still serves queries from the other replicas.
const acquireTime = 5 * time.Second

// Ready reports whether a configuration is in force that the listed VMs were asked about, the
// VM has acquired the upstreams that it owns, and it is in service.
func (vm *VM) Ready() bool {
	now := vm.now()
	age := now.Sub(vm.started)
	asked := vm.contacts.complete() || age > peerAskTime
	return vm.catalog.Current() != nil && asked && (age > acquireTime || vm.acquired()) &&
		vm.stopping.Phase() == shutdown.Serving && vm.contacts.drainedFor(now) == 0
}

// acquired reports whether the VM has taken over every upstream that it should own.
func (vm *VM) acquired() bool {
	for _, o := range vm.fleet.Ownerships() {
		if !o.Acquired {
			return false
		}
	}
	return vm.now().Sub(vm.started) >= fleet.DefaultSettings().TakeoverDelay+tierStart
}
