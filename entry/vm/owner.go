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

// cancelTime bounds one cancellation; it is of no use later.
const cancelTime = 100 * time.Millisecond

// receiveSubRequests queues the sub-requests of another VM.
func (vm *VM) receiveSubRequests(origin netip.AddrPort, m *wire.SubRequests) {
	now := vm.now()
	for _, sr := range m.Items {
		job := upstream.Job[work]{
			Key:      upstream.AttemptKey{Origin: origin, ID: sr.ID, Attempt: sr.Attempt},
			Class:    catalog.Class(sr.Class),
			Deadline: sr.Deadline, Fingerprint: sr.Fingerprint, Idempotent: sr.Idempotent,
			Payload: work{
				requestID: sr.RequestID, shard: sr.Shard, snapshot: sr.Snapshot, filter: codec.FromWireFilter(&sr.Filter),
				limit: sr.Limit, operation: sr.Operation, key: sr.Key, quantity: sr.Quantity, trace: sr.TraceParent,
			},
		}
		vm.reached(StepQueued, sr.RequestID)
		vm.follow(vm.owned.Enqueue(now, sr.Upstream, job))
	}
}

// follow does what the table of owned upstreams asks for. Connections are closed first, because the
// table counts them as gone when it asks for new ones.
func (vm *VM) follow(st upstream.Actions[work]) {
	for _, c := range st.Close {
		vm.conns.close(c)
	}
	for _, r := range st.Refuse {
		vm.respond(r.Job.Key, part{code: r.Code})
	}
	for _, s := range st.Start {
		vm.calls.Submit(func() { vm.run(s) })
	}
	for _, s := range st.Cancel {
		vm.requests.Submit(func() { vm.cancelCall(s) })
	}
}

// run makes the call of a released job and reports its outcome to the table and to the origin.
func (vm *VM) run(s upstream.StartedJob[work]) {
	ctx, span := vm.startCallSpan(s)
	defer span.End()
	began := time.Now()
	o := upstream.Outcome{Upstream: s.Upstream, Conn: s.Conn, Key: s.Job.Key}
	reply := transport.Reply{Code: result.Unreachable}
	if conn := vm.connection(ctx, s); conn != nil {
		o.Connected = true
		vm.reached(StepSent, s.Job.Payload.requestID)
		reply = conn.Do(ctx, call(s))
		vm.reached(StepReturned, s.Job.Payload.requestID)
	}
	o.Code, o.Incarnation, o.Elapsed = reply.Code, reply.Incarnation, time.Since(began)
	f := vm.owned.Finish(vm.now(), o)
	if f.SuspectedCrash {
		vm.reportCrash(s.Job.Fingerprint, s.Upstream)
	}
	vm.respond(s.Job.Key, part{
		code: reply.Code, snapshot: reply.Snapshot, records: reply.Records, matched: reply.Matched,
		receipt: reply.Receipt, queued: vm.owned.QueueLength(s.Upstream), crashed: f.SuspectedCrash,
	})
	vm.follow(f.Actions)
}

// connection returns the connection of a released job, opening it if the table asks for that.
func (vm *VM) connection(ctx context.Context, s upstream.StartedJob[work]) transport.Conn {
	ref := upstream.ConnRef{Upstream: s.Upstream, Conn: s.Conn}
	if !s.Connect {
		return vm.conns.get(ref)
	}
	ctx, cancel := context.WithDeadline(ctx, s.Job.Deadline)
	defer cancel()
	conn, err := vm.to.Upstreams.Connect(ctx, s.Address)
	if err != nil {
		return nil
	}
	vm.conns.put(ref, conn)
	conn.OnLost(func() { vm.events.Submit(func() { vm.connectionLost(ref) }) })
	return conn
}

func (vm *VM) connectionLost(ref upstream.ConnRef) {
	if vm.conns.drop(ref) {
		vm.follow(vm.owned.ConnectionLost(vm.now(), ref))
	}
}

func call(s upstream.StartedJob[work]) transport.Call {
	w := s.Job.Payload
	return transport.Call{
		RequestID: w.requestID, Attempt: s.Job.Key.Attempt, Deadline: s.Job.Deadline, Snapshot: w.snapshot,
		Shard: w.shard, Filter: w.filter, Limit: w.limit, Operation: w.operation, Key: w.key, Quantity: w.quantity,
	}
}

func (vm *VM) cancelCall(s upstream.StartedJob[work]) {
	ctx, cancel := context.WithTimeout(vm.ctx, cancelTime)
	defer cancel()
	_ = vm.to.Canceller.Cancel(ctx, s.Address, s.Job.Payload.requestID, s.Job.Key.Attempt) // best effort
}

// respond sends the outcome of a job to the VM that asked for it.
func (vm *VM) respond(k upstream.AttemptKey, p part) {
	if k.Origin == vm.settings.Address {
		vm.answer(keyOf(k), p)
		return
	}
	wp := wire.Part{
		ID: k.ID, Attempt: k.Attempt, Code: int(p.code), Snapshot: p.snapshot, Records: codec.ToWireRecords(p.records),
		Matched: p.matched, Receipt: p.receipt, Queued: p.queued, Lost: p.crashed,
	}
	vm.sendAgain(k.Origin, &wire.Envelope{Kind: codec.KindParts, Parts: &wire.Parts{Items: []wire.Part{wp}}}, resends)
}

// reportCrash tells the coordinator VM that an upstream was lost while it ran a fingerprint.
func (vm *VM) reportCrash(fingerprint uint64, upstreamName string) {
	vm.observe.Counters.CrashSuspected()
	_ = level.Warn(vm.observe.Log).Log("msg", "upstream lost while it ran a request", "upstream", upstreamName, "fingerprint", fingerprint)
	vm.reportRun(fingerprint, quarantine.Crashed, upstreamName)
}

// applyChanges acts on what the last tick of the fleet table has found.
func (vm *VM) applyChanges(now time.Time, c fleet.Changes) {
	if c.Paused {
		vm.observe.Counters.Paused(now.Sub(vm.contacts.lastTick()))
		_ = level.Warn(vm.observe.Log).Log("msg", "the process was paused; ownership dropped")
		vm.follow(vm.owned.DropAllOwnership(now))
	}
	for _, peer := range c.DeadVMs {
		vm.to.Peers.Forget(peer)
		_ = level.Info(vm.observe.Log).Log("msg", "VM lost", "peer", peer)
	}
	for _, peer := range c.ConnectTo {
		vm.to.Peers.Connect(peer)
	}
	vm.handOver(now, c.Lost) // first: an upstream may be lost and acquired again between two ticks
	for _, name := range c.Acquired {
		vm.observe.Counters.OwnershipGained()
		vm.follow(vm.owned.AcquireOwnership(now, name, vm.handovers.take(now, name)))
	}
}

// handOver releases upstreams and passes their state to the new owner VMs, one message to each.
func (vm *VM) handOver(now time.Time, losses []fleet.LostUpstream) {
	messages := map[netip.AddrPort]*wire.Handover{}
	for _, l := range losses {
		vm.observe.Counters.OwnershipLost()
		state, step := vm.owned.ReleaseOwnership(now, l.Upstream)
		vm.follow(step)
		if !l.Successor.IsValid() {
			continue
		}
		if messages[l.Successor] == nil {
			messages[l.Successor] = &wire.Handover{Term: l.Term}
		}
		messages[l.Successor].Upstreams = append(messages[l.Successor].Upstreams, wire.UpstreamState{
			Upstream: l.Upstream, Incarnation: state.Incarnation, Limit: state.Limit, Finished: state.AnswersAtLimit,
			Running: state.Running, RunningUntil: state.RunningUntil,
		})
	}
	for to, m := range messages {
		vm.sendAgain(to, &wire.Envelope{Kind: codec.KindHandover, Handover: m}, resends)
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
