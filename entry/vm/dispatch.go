package vm

import (
	"net/netip"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/result"
	"pistachioshore.dev/upstream"
	"pistachioshore.dev/wire"
)

// subRequest is one attempt on its way to the owner VM of its upstream.
type subRequest struct {
	upstream string
	job      upstream.Job[work]
	hedge    bool
	deliver  func(p part)
}

// dispatch sends sub-requests to the owner VMs of their upstreams, one message to each.
func (vm *VM) dispatch(items []subRequest) {
	remote := map[netip.AddrPort][]subRequest{}
	for _, it := range items {
		owner, ok := vm.fleet.Owner(it.upstream)
		if !ok {
			vm.events.Submit(func() { it.deliver(part{code: result.OwnerUnreachable}) })
			continue
		}
		vm.attempts.add(keyOf(it.job.Key), sentAttempt{owner: owner, idempotent: it.job.Idempotent, deliver: it.deliver})
		if owner == vm.settings.Address {
			vm.reached(StepQueued, it.job.Payload.requestID)
			vm.follow(vm.owned.Enqueue(vm.now(), it.upstream, it.job))
			continue
		}
		remote[owner] = append(remote[owner], it)
	}
	for owner, its := range remote {
		vm.sendSubRequests(owner, its)
	}
}

func (vm *VM) sendSubRequests(owner netip.AddrPort, items []subRequest) {
	m := &wire.SubRequests{}
	for _, it := range items {
		m.Items = append(m.Items, toWireSubRequest(it))
	}
	if vm.to.Peers.Send(owner, &wire.Envelope{Kind: codec.KindSubRequests, SubRequests: m}) {
		return
	}
	for _, it := range items {
		vm.answer(keyOf(it.job.Key), part{code: result.OwnerUnreachable})
	}
}

// answer hands the part of an attempt to whoever waits for it; a second part is dropped.
func (vm *VM) answer(k attemptKey, p part) {
	s, ok := vm.attempts.take(k)
	if !ok {
		vm.reached(StepLatePart, "")
		return
	}
	vm.events.Submit(func() { s.deliver(p) })
}

// withdraw cancels attempts whose parts are no longer needed.
func (vm *VM) withdraw(keys []attemptKey) {
	remote := map[netip.AddrPort]*wire.Cancel{}
	for _, k := range keys {
		s, ok := vm.attempts.take(k)
		if !ok {
			continue
		}
		vm.events.Submit(func() { s.deliver(part{code: result.Cancelled}) })
		if s.owner == vm.settings.Address {
			vm.follow(vm.owned.Cancel(vm.now(), upstream.AttemptKey{Origin: s.owner, ID: k.id, Attempt: k.number}))
			continue
		}
		if remote[s.owner] == nil {
			remote[s.owner] = &wire.Cancel{}
		}
		remote[s.owner].Items = append(remote[s.owner].Items, wire.AttemptID{ID: k.id, Attempt: k.number})
	}
	for owner, c := range remote {
		vm.to.Peers.Send(owner, &wire.Envelope{Kind: codec.KindCancel, Cancel: c})
	}
}

func keyOf(k upstream.AttemptKey) attemptKey {
	return attemptKey{id: k.ID, number: k.Attempt}
}

func toWireSubRequest(it subRequest) wire.SubRequest {
	j, w := it.job, it.job.Payload
	return wire.SubRequest{
		ID: j.Key.ID, Attempt: j.Key.Attempt, RequestID: w.requestID, Upstream: it.upstream, Shard: w.shard,
		Snapshot: w.snapshot, Class: int(j.Class), Deadline: j.Deadline, Idempotent: j.Idempotent,
		Operation: w.operation, Key: w.key, Quantity: w.quantity, Filter: codec.ToWireFilter(w.filter), Limit: w.limit,
		Fingerprint: j.Fingerprint, Hedge: it.hedge, TraceParent: w.trace,
	}
}
