package vm

import (
	"net/netip"
	"time"

	"pistachioshore.dev/record"
	"pistachioshore.dev/result"
	"pistachioshore.dev/table"
	"pistachioshore.dev/upstream"
)

// work is the part of an upstream call that the owner VM's queue does not interpret.
type work struct {
	requestID string
	shard     string
	snapshot  uint64
	filter    record.Filter
	limit     int
	operation string // set for an order
	key       string
	quantity  int
	trace     string // W3C trace context of the caller's span
}

// part is the result of an attempt.
type part struct {
	code     result.Code
	snapshot uint64
	records  []record.Record
	matched  int
	receipt  string
	queued   int  // sub-requests queued at the owner VM when the attempt ended
	crashed  bool // the upstream is suspected to have crashed while running the attempt
}

// attemptKey identifies an attempt sent by this VM.
type attemptKey struct {
	id     uint64
	number int
}

// sentAttempt is an attempt that has no result yet.
type sentAttempt struct {
	owner      netip.AddrPort
	idempotent bool
	deliver    func(p part)
}

// attempts holds the attempts that this VM has sent and that have no result yet.
type attempts struct {
	sent *table.Guarded[map[attemptKey]sentAttempt]
}

func newAttempts() *attempts {
	return &attempts{sent: table.NewGuarded(table.RankPending, map[attemptKey]sentAttempt{})}
}

func (a *attempts) add(k attemptKey, s sentAttempt) {
	a.sent.With(func(m *map[attemptKey]sentAttempt) { (*m)[k] = s })
}

// take removes and returns an attempt. It returns false if the attempt has a result or was cancelled.
func (a *attempts) take(k attemptKey) (sentAttempt, bool) {
	var s sentAttempt
	var ok bool
	a.sent.With(func(m *map[attemptKey]sentAttempt) {
		s, ok = (*m)[k]
		delete(*m, k)
	})
	return s, ok
}

// lost removes and returns the idempotent attempts sent to an owner VM. Orders stay, because their
// results may still arrive on the connection that the owner VM has opened.
func (a *attempts) lost(owner netip.AddrPort) []sentAttempt {
	var out []sentAttempt
	a.sent.With(func(m *map[attemptKey]sentAttempt) {
		for k, s := range *m {
			if s.owner == owner && s.idempotent {
				out = append(out, s)
				delete(*m, k)
			}
		}
	})
	return out
}

// replies holds the requests to other VMs that await a reply.
type replies[T any] struct {
	waiting *table.Guarded[map[uint64]chan T]
}

func newReplies[T any]() *replies[T] {
	return &replies[T]{waiting: table.NewGuarded(table.RankPending, map[uint64]chan T{})}
}

// expect registers a request and returns the channel that receives its reply.
func (r *replies[T]) expect(id uint64) <-chan T {
	ch := make(chan T, 1)
	r.waiting.With(func(m *map[uint64]chan T) { (*m)[id] = ch })
	return ch
}

// forget removes a request whose reply is no longer awaited.
func (r *replies[T]) forget(id uint64) {
	r.waiting.With(func(m *map[uint64]chan T) { delete(*m, id) })
}

// deliver passes a reply to the waiting request. It returns false if the request is no longer registered.
func (r *replies[T]) deliver(id uint64, reply T) bool {
	return table.WithResult(r.waiting, func(m *map[uint64]chan T) bool {
		ch, ok := (*m)[id]
		if ok {
			ch <- reply // does not block: the channel is buffered and receives one reply
			delete(*m, id)
		}
		return ok
	})
}

// handovers stores the upstream state received from previous owner VMs until this VM takes ownership.
type handovers struct {
	received *table.Guarded[*table.TTLMap[string, upstream.Handover]]
}

// handoverLife is how long a received handover is kept. By then the takeover
// delay has passed, after which this VM acquires the upstream without one.
const handoverLife = 5 * time.Second

func newHandovers() *handovers {
	const limit = 1 << 16 // exceeds the number of servers in any zone
	return &handovers{received: table.NewGuarded(table.RankPending, table.NewTTLMap[string, upstream.Handover](limit))}
}

func (h *handovers) put(now time.Time, name string, state upstream.Handover) {
	h.received.With(func(m **table.TTLMap[string, upstream.Handover]) {
		(*m).Put(name, state, now.Add(handoverLife))
	})
}

func (h *handovers) take(now time.Time, name string) upstream.Handover {
	var state upstream.Handover
	h.received.With(func(m **table.TTLMap[string, upstream.Handover]) {
		state, _ = (*m).Get(name, now)
		(*m).Delete(name)
	})
	return state
}
