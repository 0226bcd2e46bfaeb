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

// Retries of messages that carry the only copy of an outcome or of an upstream's state.
const (
	maxResends = 8

	// resendDelay is longer than a peer link takes to replace a connection attempt that gets no response.
	resendDelay = 250 * time.Millisecond
)

var _ socket.Receiver = (*VM)(nil)

// Receive submits a message from a peer to the worker pool for its kind.
func (vm *VM) Receive(from netip.AddrPort, m *wire.Envelope) {
	if m.Kind == codec.KindOrderForward && m.OrderForward != nil {
		vm.requestPool.Submit(func() { vm.receiveOrder(from, m.OrderForward) })
		return
	}
	switch m.Kind {
	case codec.KindHeartbeat, codec.KindHandover, codec.KindConfigRequest, codec.KindConfigValue:
		vm.controlPool.Submit(func() { vm.handleMessage(from, m) })
	default:
		vm.eventPool.Submit(func() { vm.handleMessage(from, m) })
	}
}

// handleMessage processes a message. It ignores messages without any known field.
func (vm *VM) handleMessage(from netip.AddrPort, m *wire.Envelope) {
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
		vm.requestPool.Submit(func() { vm.acceptConfig(m.ConfigValue.Value) }) // parsing a large configuration is slow
	case m.OrderResult != nil:
		vm.receiveOrderResult(m.OrderResult)
	case m.CanaryRequest != nil:
		vm.receiveCanaryRequest(from, m.CanaryRequest)
	case m.CanaryVerdict != nil:
		vm.receiveCanaryVerdict(m.CanaryVerdict)
	case m.CanaryReport != nil:
		vm.handleReport(m.CanaryReport.Fingerprint, parseOutcome(m.CanaryReport.Outcome), m.CanaryReport.Upstream)
	}
}

// Undelivered handles messages that were never sent. Sub-requests and orders fail, because this attempt
// did not run them. Messages that carry outcomes or state are sent again.
func (vm *VM) Undelivered(to netip.AddrPort, messages []*wire.Envelope) {
	vm.eventPool.Submit(func() {
		for _, m := range messages {
			vm.handleUndelivered(to, m)
		}
	})
}

func (vm *VM) handleUndelivered(to netip.AddrPort, m *wire.Envelope) {
	switch {
	case m.SubRequests != nil:
		for _, sr := range m.SubRequests.Items {
			vm.deliverResult(pendingKey{sr.ID, sr.Attempt}, attemptResult{code: result.OwnerUnreachable})
		}
	case m.OrderForward != nil:
		vm.orderReplies.deliver(m.OrderForward.ID, orderReply{refusal: result.New(result.IssuerGone, "the issuer of the permit cannot be reached")})
	case m.Parts != nil, m.OrderResult != nil, m.Handover != nil, m.CanaryReport != nil:
		vm.sendWithRetry(to, m, maxResends)
	}
}

// Connected does nothing: the heartbeats to a peer carry all that it must know.
func (vm *VM) Connected(netip.AddrPort) {}

// Disconnected fails the pending look-ups at an owner VM, whose results may have been lost with the
// connection, so that they are retried elsewhere.
func (vm *VM) Disconnected(owner netip.AddrPort) {
	vm.eventPool.Submit(func() {
		vm.instrumentation.Counters.RecordReplacedConnection()
		for _, pending := range vm.pendingAttempts.removeIdempotent(owner) {
			vm.eventPool.Submit(func() { pending.deliver(attemptResult{code: result.ConnectionLost}) })
		}
	})
}

// ConnectFailed records that a peer refused a connection.
func (vm *VM) ConnectFailed(peer netip.AddrPort) {
	vm.controlPool.Submit(func() { vm.fleet.RecordRefusedConnection(vm.now(), peer) })
}

// sendWithRetry sends a message. If the connection to the peer is being replaced, it retries at most
// retries times, resendDelay apart.
func (vm *VM) sendWithRetry(to netip.AddrPort, m *wire.Envelope, retries int) {
	if vm.transports.Peers.Send(to, m) || retries == 0 {
		return
	}
	vm.eventTimers.Schedule(vm.now().Add(resendDelay), func() { vm.sendWithRetry(to, m, retries-1) })
}

// broadcast sends a message to all peers that this VM has an open connection to.
func (vm *VM) broadcast(m *wire.Envelope) {
	for _, p := range vm.fleet.Peers(vm.now()) {
		if p.Address != vm.settings.Address {
			vm.transports.Peers.Send(p.Address, m)
		}
	}
}

func (vm *VM) receiveParts(m *wire.Parts) {
	for _, p := range m.Items {
		vm.deliverResult(pendingKey{p.ID, p.Attempt}, attemptResult{
			code: result.Code(p.Code), snapshot: p.Snapshot, records: codec.FromWireRecords(p.Records), matched: p.Matched,
			receipt: p.Receipt, queued: p.Queued, crashed: p.Lost,
		})
	}
}

func (vm *VM) receiveCancel(from netip.AddrPort, m *wire.Cancel) {
	for _, id := range m.Items {
		vm.applyActions(vm.upstreams.Cancel(vm.now(), upstream.AttemptKey{Origin: from, ID: id.ID, Attempt: id.Attempt}))
	}
}

func (vm *VM) receiveHeartbeat(from netip.AddrPort, h *wire.Heartbeat) {
	now := vm.now()
	vm.fleet.ReceiveHeartbeat(now, codec.FromWireHeartbeat(from, h))
	vm.readiness.markHeard(from)
	// A heartbeat can be the only sign of a VM that needs a connection, for example one that restarted at
	// the same address, or one that is missing from the VM list because the platform is unreachable.
	vm.transports.Peers.Connect(from)
	vm.requestConfig(from, h.Revision, h.Digest)
}

func (vm *VM) sendHeartbeat(now time.Time) {
	var revision, digest uint64
	if cfg := vm.catalog.Current(); cfg != nil {
		revision, digest = cfg.Revision, cfg.Digest
	}
	h := vm.fleet.NextHeartbeat(now, revision, digest, vm.Ready())
	vm.broadcast(&wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: codec.ToWireHeartbeat(h)})
}
