package vm

import (
	"net/netip"
	"time"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/result"
	"pistachioshore.dev/transport/socket"
	"pistachioshore.dev/upstream"
	"pistachioshore.dev/wire"
)

// Resending of messages that hold the only copy of an outcome.
const (
	resends     = 8
	resendDelay = 250 * time.Millisecond // longer than a link needs to replace a silent connection's dial
)

var _ socket.Receiver = (*VM)(nil)

// Receive hands a message to the workers.
func (vm *VM) Receive(from netip.AddrPort, m *wire.Envelope) {
	if m.Kind == codec.KindOrderForward && m.OrderForward != nil {
		vm.requests.Submit(func() { vm.receiveOrder(from, m.OrderForward) })
		return
	}
	switch m.Kind {
	case codec.KindHeartbeat, codec.KindHandover, codec.KindConfigRequest, codec.KindConfigValue:
		vm.control.Submit(func() { vm.handle(from, m) })
	default:
		vm.events.Submit(func() { vm.handle(from, m) })
	}
}

// handle acts on one message; a message without the field that its kind names is ignored.
func (vm *VM) handle(from netip.AddrPort, m *wire.Envelope) {
	if m.Kind != codec.KindHeartbeat {
		vm.fleet.RecordMessage(vm.now(), from)
	}
	switch {
	case m.Heartbeat != nil:
		vm.receiveHeartbeat(from, m.Heartbeat)
	case m.SubRequests != nil:
		vm.receiveSubRequests(from, m.SubRequests)
	case m.Parts != nil:
		vm.receiveParts(m.Parts)
	case m.Cancel != nil:
		vm.receiveCancel(from, m.Cancel)
	case m.Handover != nil:
		vm.receiveHandover(from, m.Handover)
	case m.ConfigRequest != nil:
		vm.receiveConfigRequest(from)
	case m.ConfigValue != nil:
		vm.requests.Submit(func() { vm.acceptConfig(m.ConfigValue.Value) }) // checking a large value takes long
	case m.OrderResult != nil:
		vm.receiveOrderResult(m.OrderResult)
	case m.CanaryRequest != nil:
		vm.receiveCanaryRequest(from, m.CanaryRequest)
	case m.CanaryVerdict != nil:
		vm.receiveCanaryVerdict(m.CanaryVerdict)
	case m.CanaryReport != nil:
		vm.takeReport(m.CanaryReport.Fingerprint, reportOf(m.CanaryReport.Outcome), m.CanaryReport.Upstream)
	}
}

// Undelivered answers for messages that never left: sub-requests and orders in them were not run
// by this try, and outcomes are sent again.
func (vm *VM) Undelivered(to netip.AddrPort, messages []*wire.Envelope) {
	vm.events.Submit(func() {
		for _, m := range messages {
			vm.undelivered(to, m)
		}
	})
}

func (vm *VM) undelivered(to netip.AddrPort, m *wire.Envelope) {
	switch {
	case m.SubRequests != nil:
		for _, sr := range m.SubRequests.Items {
			vm.answer(attemptKey{sr.ID, sr.Attempt}, part{code: result.OwnerUnreachable})
		}
	case m.OrderForward != nil:
		vm.forwarded.deliver(m.OrderForward.ID, orderReply{refusal: result.New(result.IssuerGone, "the issuer of the permit cannot be reached")})
	case m.Parts != nil, m.OrderResult != nil, m.Handover != nil, m.CanaryReport != nil:
		vm.sendAgain(to, m, resends)
	}
}

// Disconnected fails the look-ups whose parts may have been lost, so that they are tried elsewhere.
func (vm *VM) Disconnected(owner netip.AddrPort) {
	vm.events.Submit(func() {
		vm.observe.Counters.ConnectionReplaced()
		for _, s := range vm.attempts.lost(owner) {
			vm.events.Submit(func() { s.deliver(part{code: result.ConnectionLost}) })
		}
	})
}

// Refused notes that a VM does not accept connections.
func (vm *VM) Refused(peer netip.AddrPort) {
	vm.control.Submit(func() { vm.fleet.RecordRefusedConnection(vm.now(), peer) })
}

// sendAgain sends a message, and tries again later while the connection to the VM is being replaced.
func (vm *VM) sendAgain(to netip.AddrPort, m *wire.Envelope, left int) {
	if vm.to.Peers.Send(to, m) || left == 0 {
		return
	}
	vm.timers.Schedule(vm.now().Add(resendDelay), func() { vm.sendAgain(to, m, left-1) })
}

// broadcast sends a message to every VM that is not dead.
func (vm *VM) broadcast(m *wire.Envelope) {
	for _, p := range vm.fleet.Peers(vm.now()) {
		if p.Address != vm.settings.Address {
			vm.to.Peers.Send(p.Address, m)
		}
	}
}

func (vm *VM) receiveParts(m *wire.Parts) {
	for _, p := range m.Items {
		vm.answer(attemptKey{p.ID, p.Attempt}, part{
			code: result.Code(p.Code), snapshot: p.Snapshot, records: codec.FromWireRecords(p.Records), matched: p.Matched,
			receipt: p.Receipt, queued: p.Queued, crashed: p.Lost,
		})
	}
}

func (vm *VM) receiveCancel(from netip.AddrPort, m *wire.Cancel) {
	for _, id := range m.Items {
		vm.follow(vm.owned.Cancel(vm.now(), upstream.AttemptKey{Origin: from, ID: id.ID, Attempt: id.Attempt}))
	}
}

func (vm *VM) receiveHeartbeat(from netip.AddrPort, h *wire.Heartbeat) {
	now := vm.now()
	vm.fleet.ReceiveHeartbeat(now, codec.FromWireHeartbeat(from, h))
	vm.contacts.heard(from)
	// A VM that is heard gives no other reason to connect to it, for example one that has restarted at
	// its address, or one that this VM, cut off from the platform, has no list of.
	vm.to.Peers.Connect(from)
	vm.askForConfig(from, h.Revision, h.Digest)
}

func (vm *VM) sendHeartbeat(now time.Time) {
	var revision, digest uint64
	if cfg := vm.catalog.Current(); cfg != nil {
		revision, digest = cfg.Revision, cfg.Digest
	}
	h := vm.fleet.NextHeartbeat(now, revision, digest, vm.Ready())
	vm.broadcast(&wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: codec.ToWireHeartbeat(h)})
}
