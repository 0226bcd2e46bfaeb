package vm

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/pool"
	"pistachioshore.dev/quarantine"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// Limits on the requests to the coordinators of a fingerprint. The coordinator is the VM that ranks first
// for the fingerprint; the VMs that rank next are its successors.
const (
	// coordinatorTimeDivisor divides the time left to the deadline into the timeout of each coordinator.
	// A slow reply is worth waiting for, because a second coordinator may grant two more canary requests.
	coordinatorTimeDivisor = 4

	maxCoordinators = 2 // VMs asked in turn before this VM decides on its own

	crashReportReceivers = 3 // VMs that receive the report of a suspected crash
)

// verdictReply is a coordinator's reply to a canary request.
type verdictReply struct {
	decision quarantine.Decision
}

// checkQuarantine returns an error if the fingerprint is quarantined because requests with it have crashed
// upstreams. It waits while another request with the fingerprint runs as a canary. If canary is true, this
// request is the canary and must first run on a single shard.
func (vm *VM) checkQuarantine(ctx context.Context, fingerprint uint64, deadline time.Time) (canary bool, err error) {
	for {
		decision, ok := vm.quarantine.Lookup(vm.now(), fingerprint)
		if !ok {
			decision = vm.askCoordinator(ctx, fingerprint, deadline)
		}
		switch decision.Verdict {
		case quarantine.Good:
			return false, nil
		case quarantine.Canary:
			return true, nil
		case quarantine.Refused:
			return false, result.New(result.Quarantined, "requests like this one have crashed upstreams; refused until "+decision.Until.UTC().Format(time.RFC3339))
		}
		if !vm.waitForVerdict(ctx, decision.Until, deadline) {
			return false, result.New(result.DeadlineExpired, "the deadline passed while the request waited for its canary")
		}
	}
}

// waitForVerdict waits until it is time to ask a coordinator again. It returns false if the deadline
// comes first or ctx ends.
func (vm *VM) waitForVerdict(ctx context.Context, until, deadline time.Time) bool {
	now := vm.now()
	if !until.Before(deadline) || ctx.Err() != nil {
		return false
	}
	const minWait = time.Millisecond // prevents a busy loop if the verdict is already due
	return pool.Sleep(ctx, max(until.Sub(now), minWait))
}

// askCoordinator asks the coordinator for a verdict, then its successor. If neither replies, this VM
// decides on its own.
func (vm *VM) askCoordinator(ctx context.Context, fingerprint uint64, deadline time.Time) quarantine.Decision {
	for i, coordinator := range vm.fleet.RankVMs(fingerprint) {
		if i >= maxCoordinators || coordinator == vm.settings.Address {
			break
		}
		if decision, ok := vm.requestVerdict(ctx, coordinator, fingerprint, deadline); ok {
			vm.quarantine.ApplyDecision(vm.now(), fingerprint, decision)
			return decision
		}
	}
	return vm.decide(fingerprint, deadline)
}

// decide decides as the coordinator. If it allows the last canary request, it tells the other VMs before it replies, since
// a request that waits too long for this VM's reply asks another one.
func (vm *VM) decide(fingerprint uint64, deadline time.Time) quarantine.Decision {
	decision := vm.quarantine.Decide(vm.now(), fingerprint, deadline)
	if decision.Verdict != quarantine.Canary {
		return decision
	}
	if until, ok := vm.quarantine.Exhausted(vm.now(), fingerprint); ok {
		vm.broadcast(newVerdictMessage(0, fingerprint, quarantine.Decision{Verdict: quarantine.Canary, Until: until}))
	}
	return decision
}

func (vm *VM) requestVerdict(ctx context.Context, coordinator netip.AddrPort, fingerprint uint64, deadline time.Time) (quarantine.Decision, bool) {
	id := vm.nextID.Add(1)
	reply := vm.verdictReplies.register(id)
	defer vm.verdictReplies.unregister(id)
	m := &wire.Envelope{
		Kind:          codec.KindCanaryRequest,
		CanaryRequest: &wire.CanaryRequest{ID: id, Fingerprint: fingerprint, Deadline: deadline},
	}
	if !vm.transports.Peers.Send(coordinator, m) {
		return quarantine.Decision{}, false
	}
	t := time.NewTimer(time.Until(deadline) / coordinatorTimeDivisor)
	defer t.Stop()
	select {
	case r := <-reply:
		return r.decision, true
	case <-t.C:
		return quarantine.Decision{}, false
	case <-ctx.Done():
		return quarantine.Decision{Verdict: quarantine.Wait, Until: deadline}, true
	}
}

// receiveCanaryRequest replies with a verdict as the coordinator of the fingerprint.
func (vm *VM) receiveCanaryRequest(from netip.AddrPort, m *wire.CanaryRequest) {
	decision := vm.decide(m.Fingerprint, m.Deadline)
	vm.transports.Peers.Send(from, newVerdictMessage(m.ID, m.Fingerprint, decision))
}

func (vm *VM) receiveCanaryVerdict(m *wire.CanaryVerdict) {
	decision := quarantine.Decision{Verdict: parseVerdict(m.Verdict), Until: m.Until}
	if m.ID == 0 && decision.Verdict == quarantine.Canary {
		vm.quarantine.Hold(vm.now(), m.Fingerprint, m.Until)
		return
	}
	if m.ID == 0 {
		vm.quarantine.ApplyDecision(vm.now(), m.Fingerprint, decision)
		return
	}
	if !vm.verdictReplies.deliver(m.ID, verdictReply{decision}) && decision.Verdict == quarantine.Canary {
		// The request has stopped waiting, so its canary grant is returned unused.
		vm.reportRun(m.Fingerprint, quarantine.NotRun, "")
	}
}

// reportRun reports the outcome of a run to the coordinators of the fingerprint.
func (vm *VM) reportRun(fingerprint uint64, outcome quarantine.Outcome, upstreamName string) {
	receivers := vm.fleet.RankVMs(fingerprint)
	receivers = receivers[:min(len(receivers), receiverCount(outcome))]
	if outcome == quarantine.Succeeded && !slices.Contains(receivers, vm.settings.Address) {
		vm.quarantine.ApplyDecision(vm.now(), fingerprint, quarantine.Decision{Verdict: quarantine.Good, Until: vm.now().Add(quarantine.DefaultSettings().GoodTTL)})
	}
	if len(receivers) == 0 {
		vm.handleReport(fingerprint, outcome, upstreamName)
	}
	for _, receiver := range receivers {
		if receiver == vm.settings.Address {
			vm.handleReport(fingerprint, outcome, upstreamName)
			continue
		}
		vm.sendReport(receiver, fingerprint, outcome, upstreamName)
	}
}

// receiverCount returns the number of VMs, in coordinator order, that receive a report. Crash reports
// also go to the successors of the coordinator, so that the crash count survives its loss.
func receiverCount(outcome quarantine.Outcome) int {
	if outcome == quarantine.Crashed {
		return crashReportReceivers
	}
	return 1
}

func (vm *VM) sendReport(to netip.AddrPort, fingerprint uint64, outcome quarantine.Outcome, upstreamName string) {
	vm.sendWithRetry(to, &wire.Envelope{
		Kind: codec.KindCanaryReport,
		CanaryReport: &wire.CanaryReport{
			Fingerprint: fingerprint, Outcome: outcome.String(), Upstream: upstreamName, Until: vm.now(),
		},
	}, maxResends)
}

// handleReport records a report as the coordinator or a successor. It broadcasts the verdict after a
// crash if this VM is the coordinator or the fingerprint is refused.
func (vm *VM) handleReport(fingerprint uint64, outcome quarantine.Outcome, upstreamName string) {
	decision := vm.quarantine.Report(vm.now(), fingerprint, outcome, upstreamName)
	ranked := vm.fleet.RankVMs(fingerprint)
	isCoordinator := len(ranked) == 0 || ranked[0] == vm.settings.Address
	if outcome == quarantine.Crashed && (isCoordinator || decision.Verdict == quarantine.Refused) {
		vm.broadcast(newVerdictMessage(0, fingerprint, decision))
	}
}

func newVerdictMessage(id, fingerprint uint64, decision quarantine.Decision) *wire.Envelope {
	return &wire.Envelope{
		Kind:          codec.KindCanaryVerdict,
		CanaryVerdict: &wire.CanaryVerdict{ID: id, Fingerprint: fingerprint, Verdict: decision.Verdict.String(), Until: decision.Until},
	}
}

// parseVerdict parses a verdict. Unknown names map to Wait, which does no harm.
func parseVerdict(name string) quarantine.Verdict {
	for v := quarantine.Good; v <= quarantine.Refused; v++ {
		if v.String() == name {
			return v
		}
	}
	return quarantine.Wait
}

// parseOutcome parses the outcome of a run. Unknown names map to NotRun.
func parseOutcome(name string) quarantine.Outcome {
	for o := quarantine.Succeeded; o <= quarantine.NotRun; o++ {
		if o.String() == name {
			return o
		}
	}
	return quarantine.NotRun
}

// canaryGrants counts the canary requests granted to a request, because the coordinator expects one
// report for each. Suspected crashes are reported by the owner VM of the upstream.
type canaryGrants struct {
	vm          *VM
	fingerprint uint64

	mu          sync.Mutex
	outstanding int
}

func (g *canaryGrants) add() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outstanding++
}

// dropLost drops a grant whose canary request was lost. The owner VM reports the loss; if that VM has died,
// there is no report.
func (g *canaryGrants) dropLost() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outstanding = max(g.outstanding-1, 0)
}

// reportSuccess reports success for one grant and returns the others.
func (g *canaryGrants) reportSuccess() {
	if g.take() {
		g.vm.reportRun(g.fingerprint, quarantine.Succeeded, "")
	}
	g.returnUnused()
}

// returnUnused returns all grants that are still open, as not run.
func (g *canaryGrants) returnUnused() {
	for g.take() {
		g.vm.reportRun(g.fingerprint, quarantine.NotRun, "")
	}
}

func (g *canaryGrants) take() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.outstanding == 0 {
		return false
	}
	g.outstanding--
	return true
}
