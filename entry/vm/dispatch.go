package vm

import (
	"net/netip"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/result"
	"pistachioshore.dev/upstream"
	"pistachioshore.dev/wire"
)

// subRequest is an attempt to be sent to the owner VM of its upstream.
type subRequest struct {
	upstream string
	job      upstream.Job[payload]
	hedge    bool
	deliver  func(res attemptResult)
}

// dispatch sends sub-requests to the owner VMs of their upstreams, one message per VM.
func (vm *VM) dispatch(items []subRequest) {
	remote := map[netip.AddrPort][]subRequest{}
	for _, item := range items {
		owner, ok := vm.fleet.Owner(item.upstream)
		if !ok {
			vm.eventPool.Submit(func() { item.deliver(attemptResult{code: result.OwnerUnreachable}) })
			continue
		}
		vm.pendingAttempts.add(toPendingKey(item.job.Key), pendingAttempt{owner: owner, idempotent: item.job.Idempotent, deliver: item.deliver})
		if owner == vm.settings.Address {
			vm.notifyStep(StepQueued, item.job.Payload.requestID)
			vm.applyActions(vm.upstreams.Enqueue(vm.now(), item.upstream, item.job))
			continue
		}
		remote[owner] = append(remote[owner], item)
	}
	for owner, batch := range remote {
		vm.sendSubRequests(owner, batch)
	}
}

func (vm *VM) sendSubRequests(owner netip.AddrPort, items []subRequest) {
	m := &wire.SubRequests{}
	for _, item := range items {
		m.Items = append(m.Items, toWireSubRequest(item))
	}
	if vm.transports.Peers.Send(owner, &wire.Envelope{Kind: codec.KindSubRequests, SubRequests: m}) {
		return
	}
	for _, item := range items {
		vm.deliverResult(toPendingKey(item.job.Key), attemptResult{code: result.OwnerUnreachable})
	}
}

// deliverResult delivers the result of a pending attempt. Results of attempts that are no longer
// pending, such as duplicates, are dropped.
func (vm *VM) deliverResult(k pendingKey, res attemptResult) {
	pending, ok := vm.pendingAttempts.remove(k)
	if !ok {
		vm.notifyStep(StepLatePart, "")
		return
	}
	vm.eventPool.Submit(func() { pending.deliver(res) })
}

// cancelAttempts cancels attempts whose results are no longer needed.
func (vm *VM) cancelAttempts(keys []pendingKey) {
	remote := map[netip.AddrPort]*wire.Cancel{}
	for _, k := range keys {
		pending, ok := vm.pendingAttempts.remove(k)
		if !ok {
			continue
		}
		vm.eventPool.Submit(func() { pending.deliver(attemptResult{code: result.Cancelled}) })
		if pending.owner == vm.settings.Address {
			vm.applyActions(vm.upstreams.Cancel(vm.now(), upstream.AttemptKey{Origin: pending.owner, ID: k.subRequestID, Attempt: k.attempt}))
			continue
		}
		if remote[pending.owner] == nil {
			remote[pending.owner] = &wire.Cancel{}
		}
		remote[pending.owner].Items = append(remote[pending.owner].Items, wire.AttemptID{ID: k.subRequestID, Attempt: k.attempt})
	}
	for owner, c := range remote {
		vm.transports.Peers.Send(owner, &wire.Envelope{Kind: codec.KindCancel, Cancel: c})
	}
}

func toPendingKey(k upstream.AttemptKey) pendingKey {
	return pendingKey{subRequestID: k.ID, attempt: k.Attempt}
}

func toWireSubRequest(item subRequest) wire.SubRequest {
	job, p := item.job, item.job.Payload
	return wire.SubRequest{
		ID: job.Key.ID, Attempt: job.Key.Attempt, RequestID: p.requestID, Upstream: item.upstream, Shard: p.shard,
		Snapshot: p.snapshot, Class: int(job.Class), Deadline: job.Deadline, Idempotent: job.Idempotent,
		Operation: p.operation, Key: p.key, Quantity: p.quantity, Filter: codec.ToWireFilter(p.filter), Limit: p.limit,
		Fingerprint: job.Fingerprint, Hedge: item.hedge, TraceParent: p.traceParent,
	}
}
