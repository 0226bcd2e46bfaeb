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

// Bounds of the exchange with the coordinator VM of a fingerprint.
const (
	// coordinatorShare is the part of the time left that one coordinator may take. A second one that
	// decides as well may allow two more canary requests, so a slow answer is waited for.
	coordinatorShare = 4

	coordinators = 2 // VMs asked in turn before this VM decides alone

	crashReceivers = 3 // VMs told of a suspected crash
)

// canaryReply is a coordinator's answer.
type canaryReply struct {
	answer quarantine.Decision
}

// mayRun asks whether a fingerprint may run; canary means that one shard has to run it first.
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

// waitForVerdict waits until a coordinator should be asked again; false means that time is over.
func (vm *VM) waitForVerdict(ctx context.Context, until, deadline time.Time) bool {
	now := vm.now()
	if !until.Before(deadline) || ctx.Err() != nil {
		return false
	}
	const least = time.Millisecond // keeps a verdict that is due from becoming a busy loop
	return pool.Sleep(ctx, max(until.Sub(now), least))
}

// askCoordinator asks the coordinator VM, then its successor; without either this VM decides alone.
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

// receiveCanaryRequest answers as the coordinator of a fingerprint.
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
		// The request has given up waiting, so the leave for its canary request goes back.
		vm.reportRun(m.Fingerprint, quarantine.NotRun, "")
	}
}

// reportRun tells the coordinator of a fingerprint how a run of it ended.
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

// receivers returns how many VMs in the order of a fingerprint are told of a run. Crashes are also
// told to the next coordinators, so that the count outlives the loss of the first.
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

// takeReport updates the state of a coordinator or of its successor, and tells all VMs of a refusal.
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

// verdictOf returns the verdict of a name; an unknown name waits, which harms nothing.
func verdictOf(name string) quarantine.Verdict {
	for v := quarantine.Good; v <= quarantine.Refused; v++ {
		if v.String() == name {
			return v
		}
	}
	return quarantine.Wait
}

// reportOf returns the report of a name; an unknown name counts as not run.
func reportOf(name string) quarantine.Outcome {
	for r := quarantine.Succeeded; r <= quarantine.NotRun; r++ {
		if r.String() == name {
			return r
		}
	}
	return quarantine.NotRun
}

// canaries keeps count of the canary requests that one request was allowed, because the coordinator
// expects one report for each. The owner VM of the upstream reports suspected crashes itself.
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

// lost notes a canary request whose report comes from the owner VM, or from nobody if that is gone.
func (c *canaries) lost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = max(c.open-1, 0)
}

// succeeded reports a success and gives back what is left.
func (c *canaries) succeeded() {
	if c.take() {
		c.vm.reportRun(c.fingerprint, quarantine.Succeeded, "")
	}
	c.end()
}

// end gives back every canary request that has neither succeeded nor been lost.
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
