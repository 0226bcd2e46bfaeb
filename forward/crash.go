package forward

import (
	"time"

	"pistachioshore.dev/event"
	"pistachioshore.dev/quarantine"
	"pistachioshore.dev/replica"
)

// RecordCrash records the report of another VM that the upstream with the ID server seems to have crashed while running
// the request with the given fingerprint. It reports whether the crash was not known before.
func (vm *VM) RecordCrash(fingerprint uint64, server string) bool {
	return vm.recordCrash(fingerprint, server, "reported by another VM")
}

// recordCrash records a crash and how it was learned of.
func (vm *VM) recordCrash(fingerprint uint64, server, source string) bool {
	if !vm.crashTracker.RecordCrash(time.Now(), fingerprint, server) {
		return false
	}
	vm.events.Record(event.CrashSuspected, event.F(event.Fingerprint, fingerprint), event.F(event.Server, server), event.F(event.Reason, source))
	return true
}

// reportCrashes records that an upstream has crashed while it ran requests with the given fingerprints, and reports it to
// the other VMs.
func (vm *VM) reportCrashes(fingerprints []uint64, server string) {
	for _, fp := range fingerprints {
		if vm.recordCrash(fp, server, "seen by this VM") {
			vm.onCrash(fp, server)
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
			vm.workers.Submit(func() { vm.reportCrashes(vm.replicas.EndProbe(time.Now(), h, res), h.Server.ID) })
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
