package vm

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/codec"
	"pistachioshore.dev/fleet"
	"pistachioshore.dev/quarantine"
	"pistachioshore.dev/result"
	"pistachioshore.dev/transport"
	"pistachioshore.dev/upstream"
	"pistachioshore.dev/wire"
)

// cancelTimeout limits a cancellation request, which is of no use if it arrives later.
const cancelTimeout = 100 * time.Millisecond

// receiveSubRequests queues sub-requests from another VM.
func (vm *VM) receiveSubRequests(origin netip.AddrPort, m *wire.SubRequests) {
	now := vm.now()
	for _, sr := range m.Items {
		job := upstream.Job[payload]{
			Key:      upstream.AttemptKey{Origin: origin, ID: sr.ID, Attempt: sr.Attempt},
			Class:    catalog.Class(sr.Class),
			Deadline: sr.Deadline, Fingerprint: sr.Fingerprint, Idempotent: sr.Idempotent,
			Payload: payload{
				requestID: sr.RequestID, shard: sr.Shard, snapshot: sr.Snapshot, filter: codec.FromWireFilter(&sr.Filter),
				limit: sr.Limit, operation: sr.Operation, key: sr.Key, quantity: sr.Quantity, traceParent: sr.TraceParent,
			},
		}
		vm.notifyStep(StepQueued, sr.RequestID)
		vm.applyActions(vm.upstreams.Enqueue(now, sr.Upstream, job))
	}
}

// applyActions carries out the actions requested by the upstream table. It closes connections first,
// because the table no longer counts them against the limit when it requests new ones.
func (vm *VM) applyActions(actions upstream.Actions[payload]) {
	for _, c := range actions.Close {
		vm.conns.close(c)
	}
	for _, r := range actions.Refuse {
		vm.sendResult(r.Job.Key, attemptResult{code: r.Code})
	}
	for _, s := range actions.Start {
		vm.callPool.Submit(func() { vm.runJob(s) })
	}
	for _, s := range actions.Cancel {
		vm.requestPool.Submit(func() { vm.cancelCall(s) })
	}
}

// runJob calls the upstream for a released job and reports the outcome to the table and the origin VM.
func (vm *VM) runJob(s upstream.StartedJob[payload]) {
	ctx, span := vm.startCallSpan(s)
	defer span.End()
	startedAt := time.Now()
	o := upstream.Outcome{Upstream: s.Upstream, Conn: s.Conn, Key: s.Job.Key}
	reply := transport.Reply{Code: result.Unreachable}
	if conn := vm.connectionFor(ctx, s); conn != nil {
		o.Connected = true
		vm.notifyStep(StepSent, s.Job.Payload.requestID)
		reply = conn.Do(ctx, newCall(s))
		vm.notifyStep(StepReturned, s.Job.Payload.requestID)
	}
	o.Code, o.Incarnation, o.Elapsed = reply.Code, reply.Incarnation, time.Since(startedAt)
	f := vm.upstreams.Finish(vm.now(), o)
	if f.SuspectedCrash {
		vm.reportCrash(s.Job.Fingerprint, s.Upstream)
	}
	vm.sendResult(s.Job.Key, attemptResult{
		code: reply.Code, snapshot: reply.Snapshot, records: reply.Records, matched: reply.Matched,
		receipt: reply.Receipt, queued: vm.upstreams.QueueLength(s.Upstream), crashed: f.SuspectedCrash,
	})
	vm.applyActions(f.Actions)
}

// connectionFor returns the connection for a released job, dialing it if the table requests a new
// one. It returns nil if there is none.
func (vm *VM) connectionFor(ctx context.Context, s upstream.StartedJob[payload]) transport.Conn {
	ref := upstream.ConnRef{Upstream: s.Upstream, Conn: s.Conn}
	if !s.Connect {
		return vm.conns.get(ref)
	}
	ctx, cancel := context.WithDeadline(ctx, s.Job.Deadline)
	defer cancel()
	conn, err := vm.transports.Upstreams.Connect(ctx, s.Address)
	if err != nil {
		return nil
	}
	vm.conns.put(ref, conn)
	conn.OnRemoteClose(func() { vm.eventPool.Submit(func() { vm.handleConnectionLost(ref) }) })
	return conn
}

func (vm *VM) handleConnectionLost(ref upstream.ConnRef) {
	if vm.conns.remove(ref) {
		vm.applyActions(vm.upstreams.ConnectionLost(vm.now(), ref))
	}
}

func newCall(s upstream.StartedJob[payload]) transport.Call {
	p := s.Job.Payload
	return transport.Call{
		RequestID: p.requestID, Attempt: s.Job.Key.Attempt, Deadline: s.Job.Deadline, Snapshot: p.snapshot,
		Shard: p.shard, Filter: p.filter, Limit: p.limit, Operation: p.operation, Key: p.key, Quantity: p.quantity,
	}
}

func (vm *VM) cancelCall(s upstream.StartedJob[payload]) {
	ctx, cancel := context.WithTimeout(vm.ctx, cancelTimeout)
	defer cancel()
	_ = vm.transports.Canceller.Cancel(ctx, s.Address, s.Job.Payload.requestID, s.Job.Key.Attempt) // best effort
}

// sendResult sends the result of a job to the VM that requested it.
func (vm *VM) sendResult(k upstream.AttemptKey, res attemptResult) {
	if k.Origin == vm.settings.Address {
		vm.deliverResult(toPendingKey(k), res)
		return
	}
	part := wire.Part{
		ID: k.ID, Attempt: k.Attempt, Code: int(res.code), Snapshot: res.snapshot, Records: codec.ToWireRecords(res.records),
		Matched: res.matched, Receipt: res.receipt, Queued: res.queued, Lost: res.crashed,
	}
	vm.sendWithRetry(k.Origin, &wire.Envelope{Kind: codec.KindParts, Parts: &wire.Parts{Items: []wire.Part{part}}}, maxResends)
}

// reportCrash reports to the coordinators that an upstream was lost while it ran the fingerprint.
func (vm *VM) reportCrash(fingerprint uint64, upstreamName string) {
	vm.instrumentation.Counters.RecordSuspectedCrash()
	_ = level.Warn(vm.instrumentation.Log).Log("msg", "upstream lost while it ran a request", "upstream", upstreamName, "fingerprint", fingerprint)
	vm.reportRun(fingerprint, quarantine.Crashed, upstreamName)
}

// applyFleetChanges applies the changes found by a tick of the fleet table.
func (vm *VM) applyFleetChanges(now time.Time, c fleet.Changes) {
	if c.Paused {
		vm.instrumentation.Counters.RecordPause(now.Sub(vm.readiness.lastTick()))
		_ = level.Warn(vm.instrumentation.Log).Log("msg", "the process was paused; ownership dropped")
		vm.applyActions(vm.upstreams.DropAllOwnership(now))
	}
	for _, peer := range c.DeadVMs {
		vm.transports.Peers.Disconnect(peer)
		_ = level.Info(vm.instrumentation.Log).Log("msg", "VM lost", "peer", peer)
	}
	for _, peer := range c.ConnectTo {
		vm.transports.Peers.Connect(peer)
	}
	vm.handOver(now, c.Lost) // before acquiring: an upstream may be lost and acquired again between two ticks
	for _, name := range c.Acquired {
		vm.instrumentation.Counters.RecordOwnershipGained()
		vm.applyActions(vm.upstreams.AcquireOwnership(now, name, vm.handovers.remove(now, name)))
	}
}

// handOver releases upstreams and sends their state to the new owner VMs, one message per VM.
func (vm *VM) handOver(now time.Time, losses []fleet.LostUpstream) {
	messages := map[netip.AddrPort]*wire.Handover{}
	for _, lost := range losses {
		vm.instrumentation.Counters.RecordOwnershipLost()
		state, actions := vm.upstreams.ReleaseOwnership(now, lost.Upstream)
		vm.applyActions(actions)
		if !lost.Successor.IsValid() {
			continue
		}
		if messages[lost.Successor] == nil {
			messages[lost.Successor] = &wire.Handover{Term: lost.Term}
		}
		messages[lost.Successor].Upstreams = append(messages[lost.Successor].Upstreams, wire.UpstreamState{
			Upstream: lost.Upstream, Incarnation: state.Incarnation, Limit: state.Limit, Finished: state.AnswersAtLimit,
			Running: state.Running, RunningUntil: state.RunningUntil,
		})
	}
	for to, m := range messages {
		vm.sendWithRetry(to, &wire.Envelope{Kind: codec.KindHandover, Handover: m}, maxResends)
	}
}

func (vm *VM) receiveHandover(from netip.AddrPort, m *wire.Handover) {
	now := vm.now()
	names := make([]string, 0, len(m.Upstreams))
	for _, u := range m.Upstreams {
		vm.handovers.put(now, u.Upstream, upstream.Handover{
			Incarnation: u.Incarnation, Limit: u.Limit, AnswersAtLimit: u.Finished, Running: u.Running, RunningUntil: u.RunningUntil,
		})
		names = append(names, u.Upstream)
	}
	vm.fleet.ReceiveHandover(now, from, m.Term, names)
}
