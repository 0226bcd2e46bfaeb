package forward

import (
	"time"

	"pistachioshore.dev/event"
	"pistachioshore.dev/quarantine"
	"pistachioshore.dev/replica"
	"pistachioshore.dev/route"
)

// RecordCrash records a crash that another VM has reported. It reports whether the crash was not known before.
func (vm *VM) RecordCrash(c quarantine.Crash) bool {
	return vm.recordCrash(c, "reported by another VM")
}

// recordCrash records a crash and how it was learned of.
func (vm *VM) recordCrash(c quarantine.Crash, source string) bool {
	if !vm.crashTracker.RecordCrash(time.Now(), c) {
		return false
	}
	vm.events.Record(event.CrashSuspected, event.F(event.Fingerprint, c.Fingerprint), event.F(event.Server, c.Upstream), event.F(event.Reason, source))
	return true
}

// reportCrashes records that an upstream has crashed while it ran requests with the given fingerprints, and reports it to
// the other VMs.
func (vm *VM) reportCrashes(fingerprints []uint64, s route.Server) {
	for _, fp := range fingerprints {
		c := quarantine.Crash{Fingerprint: fp, Upstream: s.ID, StartedAt: s.StartedAt}
		if vm.recordCrash(c, "seen by this VM") {
			vm.onCrash(c)
		}
	}
}

// probeAfterLoss finds out whether an upstream has crashed after a connection to it was lost. Later requests would show
// it as well, but a VM sends few of them to one upstream and avoids an upstream that has failed.
func (vm *VM) probeAfterLoss(lostAt time.Time, h replica.AttemptHandle, maxConns int) {
	at := lostAt.Add(crashProbeDelay)
	if !vm.replicas.StartProbe(at, h) {
		return
	}
	vm.timers.Schedule(at, func() {
		vm.sender.Probe(h.Server, maxConns, func(res replica.ProbeResult) {
			vm.workers.Submit(func() { vm.reportCrashes(vm.replicas.EndProbe(time.Now(), h, res), h.Server) })
		})
	})
}

// Crashes returns the crashes that a VM which has just joined the tier must know of.
func (vm *VM) Crashes(now time.Time) []quarantine.Crash {
	return vm.crashTracker.Crashes(now, maxSharedCrashRequests)
}

// BlockedRequests returns the number of requests, counted by content, that this VM refuses because they have crashed
// upstreams.
func (vm *VM) BlockedRequests(now time.Time) int {
	return vm.crashTracker.BlockedCount(now)
}
