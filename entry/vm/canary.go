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

// Limits on the requests to the coordinators of a fingerprint.
const (
	// coordinatorShare divides the time left to the deadline into the timeout of each coordinator. A
	// slow reply is worth waiting for, because a second coordinator may grant two more canary requests.
	coordinatorShare = 4

	coordinators = 2 // VMs asked in turn before this VM decides on its own

	crashReceivers = 3 // VMs that receive the report of a suspected crash
)

// canaryReply is a coordinator's reply to a canary request.
type canaryReply struct {
	answer quarantine.Decision
}

// mayRun returns an error if the fingerprint is quarantined, and waits while its canary request runs
// elsewhere. The result canary means that the request must first run on a single shard.
func (vm *VM) mayRun(ctx context.Context, fingerprint uint64, deadline time.Time) (canary bool, err error) {
	for {
		a, ok := vm.quarantine.Lookup(vm.now(), fingerprint)
		if !ok {
			a = vm.askCoordinator(ctx, fingerprint, deadline)
		}
		switch a.Verdict {
		case quarantine.Good:
			return false, nil
		case quarantine.Canary:
			return true, nil
		case quarantine.Refused:
			return false, result.New(result.Quarantined, "requests like this one have crashed upstreams; refused until "+a.Until.UTC().Format(time.RFC3339))
		}
		if !vm.waitForVerdict(ctx, a.Until, deadline) {
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
	const least = time.Millisecond // prevents a busy loop if the verdict is already due
	return pool.Sleep(ctx, max(until.Sub(now), least))
}

// askCoordinator asks the coordinator for a verdict, then its successor. If neither replies, this VM
// decides on its own.
func (vm *VM) askCoordinator(ctx context.Context, fingerprint uint64, deadline time.Time) quarantine.Decision {
	for i, c := range vm.fleet.RankVMs(fingerprint) {
		if i >= coordinators || c == vm.settings.Address {
			break
		}
		if a, ok := vm.askVM(ctx, c, fingerprint, deadline); ok {
			vm.quarantine.ApplyDecision(vm.now(), fingerprint, a)
			return a
		}
	}
	return vm.quarantine.Decide(vm.now(), fingerprint, deadline)
}

func (vm *VM) askVM(ctx context.Context, c netip.AddrPort, fingerprint uint64, deadline time.Time) (quarantine.Decision, bool) {
	id := vm.nextID.Add(1)
	reply := vm.asked.expect(id)
	defer vm.asked.forget(id)
	m := &wire.Envelope{
		Kind:          codec.KindCanaryRequest,
		CanaryRequest: &wire.CanaryRequest{ID: id, Fingerprint: fingerprint, Deadline: deadline},
	}
	if !vm.to.Peers.Send(c, m) {
		return quarantine.Decision{}, false
	}
	t := time.NewTimer(time.Until(deadline) / coordinatorShare)
	defer t.Stop()
	select {
	case r := <-reply:
		return r.answer, true
	case <-t.C:
		return quarantine.Decision{}, false
	case <-ctx.Done():
		return quarantine.Decision{Verdict: quarantine.Wait, Until: deadline}, true
	}
}

// receiveCanaryRequest replies with a verdict as the coordinator of the fingerprint.
func (vm *VM) receiveCanaryRequest(from netip.AddrPort, m *wire.CanaryRequest) {
	a := vm.quarantine.Decide(vm.now(), m.Fingerprint, m.Deadline)
	vm.to.Peers.Send(from, verdictMessage(m.ID, m.Fingerprint, a))
}

func (vm *VM) receiveCanaryVerdict(m *wire.CanaryVerdict) {
	a := quarantine.Decision{Verdict: verdictOf(m.Verdict), Until: m.Until}
	if m.ID == 0 {
		vm.quarantine.ApplyDecision(vm.now(), m.Fingerprint, a)
		return
	}
	if !vm.asked.deliver(m.ID, canaryReply{a}) && a.Verdict == quarantine.Canary {
		// The request has stopped waiting, so its canary grant is returned unused.
		vm.reportRun(m.Fingerprint, quarantine.NotRun, "")
	}
}

// reportRun reports the outcome of a run to the coordinators of the fingerprint.
func (vm *VM) reportRun(fingerprint uint64, r quarantine.Outcome, upstreamName string) {
	to := vm.fleet.RankVMs(fingerprint)
	to = to[:min(len(to), receivers(r))]
	if r == quarantine.Succeeded && !slices.Contains(to, vm.settings.Address) {
		vm.quarantine.ApplyDecision(vm.now(), fingerprint, quarantine.Decision{Verdict: quarantine.Good, Until: vm.now().Add(quarantine.DefaultSettings().GoodTTL)})
	}
	if len(to) == 0 {
		vm.takeReport(fingerprint, r, upstreamName)
	}
	for _, c := range to {
		if c == vm.settings.Address {
			vm.takeReport(fingerprint, r, upstreamName)
			continue
		}
		vm.sendReport(c, fingerprint, r, upstreamName)
	}
}

// receivers returns the number of VMs, in coordinator order, that receive a report. Crash reports also
// go to the successors of the coordinator, so that the crash count survives its loss.
func receivers(r quarantine.Outcome) int {
	if r == quarantine.Crashed {
		return crashReceivers
	}
	return 1
}

func (vm *VM) sendReport(to netip.AddrPort, fingerprint uint64, r quarantine.Outcome, upstreamName string) {
	vm.sendAgain(to, &wire.Envelope{
		Kind: codec.KindCanaryReport,
		CanaryReport: &wire.CanaryReport{
			Fingerprint: fingerprint, Outcome: r.String(), Upstream: upstreamName, Until: vm.now(),
		},
	}, resends)
}

// takeReport records a report as the coordinator or a successor. It broadcasts the verdict after a
// crash if this VM is the coordinator or the fingerprint is refused.
func (vm *VM) takeReport(fingerprint uint64, r quarantine.Outcome, upstreamName string) {
	a := vm.quarantine.Report(vm.now(), fingerprint, r, upstreamName)
	order := vm.fleet.RankVMs(fingerprint)
	first := len(order) == 0 || order[0] == vm.settings.Address
	if r == quarantine.Crashed && (first || a.Verdict == quarantine.Refused) {
		vm.broadcast(verdictMessage(0, fingerprint, a))
	}
}

func verdictMessage(id, fingerprint uint64, a quarantine.Decision) *wire.Envelope {
	return &wire.Envelope{
		Kind:          codec.KindCanaryVerdict,
		CanaryVerdict: &wire.CanaryVerdict{ID: id, Fingerprint: fingerprint, Verdict: a.Verdict.String(), Until: a.Until},
	}
}

// verdictOf parses a verdict. Unknown names map to Wait, which does no harm.
func verdictOf(name string) quarantine.Verdict {
	for v := quarantine.Good; v <= quarantine.Refused; v++ {
		if v.String() == name {
			return v
		}
	}
	return quarantine.Wait
}

// reportOf parses a report. Unknown names map to NotRun.
func reportOf(name string) quarantine.Outcome {
	for r := quarantine.Succeeded; r <= quarantine.NotRun; r++ {
		if r.String() == name {
			return r
		}
	}
	return quarantine.NotRun
}

// canaries counts the canary requests granted to a request, because the coordinator expects one report
// for each. Suspected crashes are reported by the owner VM of the upstream.
type canaries struct {
	vm          *VM
	fingerprint uint64

	mu   sync.Mutex
	open int
}

func (c *canaries) granted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open++
}

// lost drops a grant whose canary request was lost. The owner VM reports it, or nobody if that VM died.
func (c *canaries) lost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = max(c.open-1, 0)
}

// succeeded reports success for one grant and returns the others.
func (c *canaries) succeeded() {
	if c.take() {
		c.vm.reportRun(c.fingerprint, quarantine.Succeeded, "")
	}
	c.end()
}

// end returns all grants that are still open, as not run.
func (c *canaries) end() {
	for c.take() {
		c.vm.reportRun(c.fingerprint, quarantine.NotRun, "")
	}
}

func (c *canaries) take() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == 0 {
		return false
	}
	c.open--
	return true
}
