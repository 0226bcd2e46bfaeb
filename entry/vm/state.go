package vm

import (
	"net/netip"
	"time"

	"pistachioshore.dev/record"
	"pistachioshore.dev/result"
	"pistachioshore.dev/table"
	"pistachioshore.dev/upstream"
)

// work is what an upstream is asked to do, apart from the keys by which its owner VM orders it.
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

// part is the outcome of one attempt.
type part struct {
	code     result.Code
	snapshot uint64
	records  []record.Record
	matched  int
	receipt  string
	queued   int  // sub-requests that waited at the owner VM
	crashed  bool // the upstream was lost while it ran the attempt
}

// attemptKey names an attempt that this VM has sent.
type attemptKey struct {
	id     uint64
	number int
}

// sentAttempt is an attempt whose part has not come yet.
type sentAttempt struct {
	owner      netip.AddrPort
	idempotent bool
	deliver    func(p part)
}

// attempts holds the attempts that this VM has sent and that are not answered.
type attempts struct {
	sent *table.Guarded[map[attemptKey]sentAttempt]
}

func newAttempts() *attempts {
	return &attempts{sent: table.NewGuarded(table.RankPending, map[attemptKey]sentAttempt{})}
}

func (a *attempts) add(k attemptKey, s sentAttempt) {
	a.sent.With(func(m *map[attemptKey]sentAttempt) { (*m)[k] = s })
}

// take removes an attempt; false means that it was answered or given up before.
func (a *attempts) take(k attemptKey) (sentAttempt, bool) {
	var s sentAttempt
	var ok bool
	a.sent.With(func(m *map[attemptKey]sentAttempt) {
		s, ok = (*m)[k]
		delete(*m, k)
	})
	return s, ok
}

// lost removes and returns the idempotent attempts that were sent to an owner VM. Orders stay,
// because their parts may still come on the connection that the owner VM has opened.
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

// replies holds the requests to other VMs that wait for a reply.
type replies[T any] struct {
	waiting *table.Guarded[map[uint64]chan T]
}

func newReplies[T any]() *replies[T] {
	return &replies[T]{waiting: table.NewGuarded(table.RankPending, map[uint64]chan T{})}
}

// expect returns the channel on which the reply to a request comes.
func (r *replies[T]) expect(id uint64) <-chan T {
	ch := make(chan T, 1)
	r.waiting.With(func(m *map[uint64]chan T) { (*m)[id] = ch })
	return ch
}

// forget gives a request up.
func (r *replies[T]) forget(id uint64) {
	r.waiting.With(func(m *map[uint64]chan T) { delete(*m, id) })
}

// deliver passes a reply on; it reports false for a request that was given up.
func (r *replies[T]) deliver(id uint64, reply T) bool {
	return table.WithResult(r.waiting, func(m *map[uint64]chan T) bool {
		ch, ok := (*m)[id]
		if ok {
			ch <- reply // buffered, and sent to only once
			delete(*m, id)
		}
		return ok
	})
}

// handovers keeps what previous owner VMs have sent until this VM acquires the upstreams.
type handovers struct {
	received *table.Guarded[*table.TTLMap[string, upstream.Handover]]
}

// handoverLife is how long a received handover is of use; later the takeover delay has passed anyway.
const handoverLife = 5 * time.Second

func newHandovers() *handovers {
	const limit = 1 << 16 // above the servers of any zone
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
