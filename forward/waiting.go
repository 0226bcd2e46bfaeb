package forward

import (
	"sync/atomic"
	"time"

	"pistachioshore.dev/aggregator"
	"pistachioshore.dev/event"
	"pistachioshore.dev/gather"
	"pistachioshore.dev/replica"
	"pistachioshore.dev/result"
	"pistachioshore.dev/route"
	"pistachioshore.dev/table"
	"pistachioshore.dev/waitlist"
)

const (
	// shedWindowRatio is the part of a route's target latency for which a shed answer counts against an upstream. Waiting
	// for the end of the window leaves most of the target to the request.
	shedWindowRatio = 1.0 / 8

	// maxShedWindow bounds that time where the target is long or absent: a client that is refused is told to retry no
	// sooner.
	maxShedWindow = minRetryAfter

	// maxWaitingRatio bounds the waiting requests of one service as a ratio of the requests that the VM serves
	// concurrently, so that one full service leaves room for the others.
	maxWaitingRatio = 0.5
)

// waitQueues holds the requests that wait until an upstream of their service has room.
type waitQueues struct {
	waiting atomic.Int64 // requests in all queues; with none, a request to an upstream with room takes no lock here
	state   *table.Guarded[map[string]*serviceQueue]
}

// serviceQueue holds the requests that wait for the upstreams of one service.
type serviceQueue struct {
	list   *waitlist.List[*heldAttempt]
	wakeAt time.Time // next time at which the queue is examined in any case
}

// heldAttempt is an attempt that is not sent yet.
type heldAttempt struct {
	q       *query
	attempt gather.Attempt
	sent    *sentAttempt
	service string
	waiter  *waitlist.Waiter[*heldAttempt]
}

func newWaitQueues() *waitQueues {
	return &waitQueues{state: table.NewGuarded(table.RankWaiting, map[string]*serviceQueue{})}
}

// heldOutcome is what becomes of a held attempt: it is sent with the handle, or fails with the code.
type heldOutcome struct {
	held       *heldAttempt
	attempt    gather.Attempt
	handle     replica.AttemptHandle
	step       gather.Step
	code       result.Code // 0 if the attempt is sent
	reason     waitlist.Reason
	retryAfter time.Duration
}

// hold has an attempt wait if all upstreams of its service are full as far as this VM knows, or if other requests wait for
// them. It reports whether it did. Queries over shards and hedges do not wait, and neither does a request of which another
// attempt may have run: a refusal of it could not promise that it has not run.
func (q *query) hold(now time.Time, a gather.Attempt, s *sentAttempt) bool {
	vm := q.vm
	if vm.waits == nil || q.route.Sharded() || a.Hedge || q.hasBegun() {
		return false
	}
	room, _ := vm.replicas.WithRoom(now, q.upstreams)
	if len(room) > 0 && vm.waits.waiting.Load() == 0 {
		return false
	}
	h := &heldAttempt{q: q, attempt: a, sent: s, service: q.shards[a.Shard].Service}
	r, limit, interval := q.waitRequest(now), q.maxWaiting(), q.expectedInterval()
	isHeld, ahead := true, 0
	var refused []heldOutcome
	vm.waits.state.With(func(queues *map[string]*serviceQueue) {
		sq := (*queues)[h.service]
		if sq == nil || sq.list.Len() == 0 {
			if len(room) > 0 {
				isHeld = false
				return
			}
			if sq == nil {
				sq = &serviceQueue{list: waitlist.New[*heldAttempt](interval)}
				(*queues)[h.service] = sq
			}
		}
		q.state.Hold(a.Shard, a.Number)
		q.mu.Lock()
		s.held = h
		q.inFlight[attemptKey{a.Shard, a.Number}] = s
		q.mu.Unlock()
		ahead = sq.list.Len()
		d := sq.list.Offer(now, r, h, limit)
		if d.Refused != waitlist.None {
			refused = append(refused, heldOutcome{held: h, code: refusalCode(d.Refused), reason: d.Refused, retryAfter: d.RetryAfter})
			return
		}
		h.waiter = d.Waiter
		vm.waits.waiting.Add(1)
		if d.Displaced != nil {
			vm.waits.waiting.Add(-1)
			refused = append(refused, heldOutcome{
				held: d.Displaced.Item, code: result.Overloaded, reason: waitlist.Displaced, retryAfter: sq.list.Wait(now, d.Displaced.Request),
			})
		}
	})
	if !isHeld {
		return false
	}
	if h.waiter != nil {
		vm.stats.recordWaiting(r.Priority)
		vm.events.Record(event.RequestWaiting, event.F(event.RequestID, q.req.ID), event.F(event.Service, h.service),
			event.F(event.Priority, r.Priority), event.F(event.Count, ahead), event.F(event.Number, a.Number))
	}
	vm.finishHeld(now, refused)
	vm.releaseWaiting(time.Now(), h.service) // later than a wake-up that found no request waiting
	return true
}

// hasBegun reports whether an attempt of the query may have run.
func (q *query) hasBegun() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.begun
}

// waitRequest returns what the order of waiting requests depends on.
func (q *query) waitRequest(now time.Time) waitlist.Request {
	target, step := answerBy(q.req, q.route), q.route.TargetLatency
	if target.IsZero() {
		target, step = q.deadline, q.deadline.Sub(now)
	}
	return waitlist.Request{
		Kind: q.route.Name, Priority: priorityOf(q.req, q.route), Target: target, Deadline: q.deadline,
		Work: q.vm.latency.Median(q.route.Name), AgingStep: step,
	}
}

// maxWaiting returns the number of requests that may wait for the service: one for each of this VM's share of the slots.
// They are all released while the requests before them, which take a target at most if they are in time, are served. In a
// longer queue all would be late.
func (q *query) maxWaiting() int {
	members := table.WithResult(q.vm.state, func(st *vmState) aggregator.LimitShares { return st.shares }).Members
	slots := q.vm.replicas.Slots(q.upstreams) / max(members, 1)
	return max(min(slots, int(maxWaitingRatio*float64(q.vm.settings.MaxInFlight))), 1)
}

// expectedInterval returns the expected time between two releases before any was observed.
func (q *query) expectedInterval() time.Duration {
	return q.vm.latency.Median(q.route.Name) / time.Duration(max(q.vm.replicas.Slots(q.upstreams), 1))
}

// priorityOf returns the priority of a request, 0 for the most urgent.
func priorityOf(req *Request, r *route.Route) int {
	if req.Priority != nil {
		return max(*req.Priority, 0)
	}
	return max(r.Priority, 0)
}

// Priority returns the priority of a request, 0 for the most urgent and for one without a route.
func (vm *VM) Priority(req *Request) int {
	if req.Priority != nil {
		return max(*req.Priority, 0)
	}
	if cfg, _ := vm.config(req); cfg != nil {
		if r, ok := cfg.Match(req.Host, req.Path); ok {
			return priorityOf(req, r)
		}
	}
	return 0
}

// shedWindow returns the time for which a shed answer to a request of the route counts against the upstream.
func (vm *VM) shedWindow(r *route.Route) time.Duration {
	switch {
	case vm.waits == nil:
		return 0
	case r.TargetLatency <= 0:
		return maxShedWindow
	default:
		return min(time.Duration(shedWindowRatio*float64(r.TargetLatency)), maxShedWindow)
	}
}

// refusalCode returns the result code of a request that was refused while it waited. Its effect is NotRun.
func refusalCode(r waitlist.Reason) result.Code {
	if r == waitlist.Deadline {
		return result.DeadlineExpired
	}
	return result.Overloaded
}

// releaseWaiting sends the waiting attempts of a service for which there is room, and refuses those that can no longer
// meet their deadlines.
func (vm *VM) releaseWaiting(now time.Time, service string) {
	if vm.waits == nil || vm.waits.waiting.Load() == 0 {
		return
	}
	var outcomes []heldOutcome
	var wakeAt time.Time
	vm.waits.state.With(func(queues *map[string]*serviceQueue) {
		sq := (*queues)[service]
		if sq == nil || sq.list.Len() == 0 {
			return
		}
		for _, w := range sq.list.Expire(now) {
			outcomes = append(outcomes, heldOutcome{
				held: w.Item, code: result.DeadlineExpired, reason: waitlist.Deadline, retryAfter: sq.list.Wait(now, w.Request),
			})
		}
		outcomes = append(outcomes, vm.grant(now, sq)...)
		vm.waits.waiting.Add(-int64(len(outcomes)))
		if wakeAt = vm.nextWake(now, sq); !wakeAt.IsZero() {
			if sq.wakeAt.After(now) && !wakeAt.Before(sq.wakeAt) {
				wakeAt = time.Time{} // examined earlier anyway
			} else {
				sq.wakeAt = wakeAt
			}
		}
	})
	if !wakeAt.IsZero() {
		vm.timers.Schedule(wakeAt, func() { vm.releaseWaiting(time.Now(), service) })
	}
	vm.finishHeld(now, outcomes)
}

// grant removes the attempts for which there is room, and those whose service has no usable upstream left.
func (vm *VM) grant(now time.Time, sq *serviceQueue) []heldOutcome {
	var outcomes []heldOutcome
	for sq.list.Len() > 0 {
		rooms := map[string][]string{} // by route
		var gone []*heldAttempt
		w := sq.list.Next(now, func(h *heldAttempt) bool {
			r := h.q.route
			room, known := rooms[r.Name]
			if !known {
				usable := vm.replicas.Candidates(now, h.service, r.Regions, r.Idempotent)
				room, _ = vm.replicas.WithRoom(now, usable)
				rooms[r.Name] = room
				if len(usable) == 0 {
					gone = append(gone, h)
				}
			}
			return len(room) > 0
		})
		for _, h := range gone {
			if sq.list.Remove(h.waiter) {
				outcomes = append(outcomes, heldOutcome{held: h, code: result.Unreachable})
			}
		}
		switch {
		case w != nil:
			outcomes = append(outcomes, vm.place(now, w.Item, rooms[w.Item.q.route.Name]))
		case len(gone) == 0:
			return outcomes
		}
	}
	return outcomes
}

// place chooses the upstream of an attempt that is released. Upstreams with room must be given.
func (vm *VM) place(now time.Time, h *heldAttempt, room []string) heldOutcome {
	q, a := h.q, h.attempt
	server, step, ok := q.state.Place(now, a.Shard, a.Number, room)
	if !ok {
		return heldOutcome{held: h, code: result.Cancelled} // the query has ended
	}
	a.Server = server
	handle, ok := vm.replicas.StartAttempt(now, server, q.cfg.Services[h.service], q.limitShare(), q.class.work)
	if !ok {
		return heldOutcome{held: h, attempt: a, step: step, code: result.UpstreamLeaving}
	}
	return heldOutcome{held: h, attempt: a, handle: handle, step: step}
}

// nextWake returns the next time at which a queue is to be examined, or the zero time if it is empty: when a request can no
// longer meet its deadline, when an upstream may have room, and in any case after the time for which a shed answer counts,
// because upstreams also become usable or unusable without an attempt of this VM.
func (vm *VM) nextWake(now time.Time, sq *serviceQueue) time.Time {
	next := sq.list.NextExpiry()
	if next.IsZero() {
		return next
	}
	next = next.Add(time.Nanosecond)
	if at := now.Add(maxShedWindow); at.Before(next) {
		next = at
	}
	for _, h := range sq.list.Items() {
		if _, at := vm.replicas.WithRoom(now, h.q.upstreams); at.After(now) && at.Before(next) {
			next = at
		}
	}
	return next
}

// finishHeld carries out the outcomes of held attempts. No lock of a table may be held.
func (vm *VM) finishHeld(now time.Time, outcomes []heldOutcome) {
	for _, o := range outcomes {
		o.held.q.contain(func() { vm.finishOne(now, o) })
	}
}

func (vm *VM) finishOne(now time.Time, o heldOutcome) {
	q := o.held.q
	switch o.code {
	case 0:
		q.apply(o.step)
		q.sendHeld(now, o)
	case result.Cancelled:
	case result.UpstreamLeaving: // another upstream may be tried
		q.apply(o.step)
		q.failHeld(o, o.code)
	default:
		vm.refuseHeld(now, o)
	}
}

// failHeld ends an attempt that was released but cannot be sent.
func (q *query) failHeld(o heldOutcome, code result.Code) {
	q.mu.Lock()
	current := q.removeInFlight(o.attempt, o.held.sent)
	q.mu.Unlock()
	if current {
		q.failUnsent(o.attempt, code)
	}
}

// sendHeld sends an attempt that was released, unless the query has ended or must not be sent any more.
func (q *query) sendHeld(now time.Time, o heldOutcome) {
	s := o.held.sent
	code := q.withdrawn(now, true)
	q.mu.Lock()
	unsent := s.dropped || code != 0
	if !unsent {
		s.handle, s.sentAt, s.held = o.handle, now, nil
	}
	q.mu.Unlock()
	switch {
	case !unsent:
		q.vm.stats.recordWaited(now.Sub(o.held.waiter.Since()))
		q.recordAttempt(o.attempt, now)
		q.transmit(o.attempt, s)
		return
	case code != 0:
		q.failHeld(o, code)
	}
	q.vm.replicas.EndAttempt(now, o.handle, replica.Result{Outcome: replica.Abandoned})
	q.vm.releaseWaiting(now, o.held.service)
}

// refuseHeld ends an attempt that waited, and is not retried because there is no room for it.
func (vm *VM) refuseHeld(now time.Time, o heldOutcome) {
	q, a := o.held.q, o.held.attempt
	if o.reason != waitlist.None {
		priority := priorityOf(q.req, q.route)
		vm.stats.recordWaitRefused(o.reason, priority)
		vm.events.Record(event.WaitRefused, event.F(event.RequestID, q.req.ID), event.F(event.Service, o.held.service),
			event.F(event.Priority, priority), event.F(event.Reason, o.reason.String()), event.F(event.Delay, o.retryAfter),
			event.F(event.Elapsed, now.Sub(q.req.ReceivedAt)))
	}
	q.submit(func() {
		q.mu.Lock()
		current := q.removeInFlight(a, o.held.sent)
		if current {
			q.retryAfter = o.retryAfter
		}
		q.mu.Unlock()
		if current {
			q.apply(q.state.HandleResult(time.Now(), gather.AttemptResult[*Response]{
				Shard: a.Shard, Number: a.Number, Code: o.code, Snapshot: q.cfg.Version, Final: true,
			}))
		}
	})
}

// submit has a worker run a task of the query.
func (q *query) submit(task func()) {
	q.vm.workers.SubmitPriority(priorityOf(q.req, q.route), func() { q.contain(task) })
}

// withdraw removes an attempt whose query has ended from the queue. It reports whether the attempt was held, and thus has
// not been sent.
func (vm *VM) withdraw(s *sentAttempt) bool {
	h := s.held
	if h == nil {
		return false
	}
	vm.waits.state.With(func(queues *map[string]*serviceQueue) {
		if sq := (*queues)[h.service]; sq != nil && h.waiter != nil && sq.list.Remove(h.waiter) {
			vm.waits.waiting.Add(-1)
		}
	})
	return true
}

// WaitingRequests returns the number of waiting requests by priority. Less urgent priorities than the last one that is
// counted count as that one.
func (vm *VM) WaitingRequests() [countedPriorities]int {
	var n [countedPriorities]int
	if vm.waits == nil {
		return n
	}
	vm.waits.state.With(func(queues *map[string]*serviceQueue) {
		for _, sq := range *queues {
			for _, h := range sq.list.Items() {
				n[countedPriority(priorityOf(h.q.req, h.q.route))]++
			}
		}
	})
	return n
}
