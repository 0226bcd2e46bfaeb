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
	vm.applyFleetChanges(now, vm.fleet.Tick(now))
	vm.readiness.recordTick(now)
	vm.applyActions(vm.upstreams.Tick(now))
	vm.permits.Expire(now)
	if vm.readiness.heartbeatDue(now, s.HeartbeatInterval) {
		vm.sendHeartbeat(now)
	}
	vm.controlTimers.Schedule(now.Add(s.TickInterval), vm.tick)
}

// tierStartDelay is added to the takeover delay so that the other VMs of a tier that starts as a
// whole can acquire their upstreams. Without it, the first queries find some upstreams without an owner.
const tierStartDelay = 500 * time.Millisecond

// acquireTimeout limits how long readiness waits for the upstreams that this VM should own. After that,
// the VM serves queries from the other replicas.
const acquireTimeout = 5 * time.Second

// Ready reports whether the VM can take requests. It needs a configuration, which it has compared with
// those of the listed VMs, and the upstreams that it should own, with a limit on both waits. It must
// also be neither shutting down nor drained.
func (vm *VM) Ready() bool {
	now := vm.now()
	age := now.Sub(vm.startedAt)
	peersHeard := vm.readiness.allPeersHeard() || age > peerConfigTimeout
	return vm.catalog.Current() != nil && peersHeard && (age > acquireTimeout || vm.ownsAllUpstreams()) &&
		vm.shutdown.Phase() == shutdown.Serving && vm.readiness.drainedFor(now) == 0
}

// ownsAllUpstreams reports whether the VM has taken ownership of every upstream that it should own. It
// returns false while the takeover delay and tierStartDelay have not passed since the start.
func (vm *VM) ownsAllUpstreams() bool {
	for _, o := range vm.fleet.Ownerships() {
		if !o.Acquired {
			return false
		}
	}
	return vm.now().Sub(vm.startedAt) >= fleet.DefaultSettings().TakeoverDelay+tierStartDelay
}
