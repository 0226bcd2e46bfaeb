package vm

import (
	"net/netip"
	"time"

	"pistachioshore.dev/record"
	"pistachioshore.dev/result"
	"pistachioshore.dev/table"
	"pistachioshore.dev/upstream"
)

// payload is the part of an upstream call that the owner VM's queue does not interpret.
type payload struct {
	requestID   string
	shard       string
	snapshot    uint64
	filter      record.Filter
	limit       int
	operation   string // set for an order
	key         string
	quantity    int
	traceParent string // W3C trace context of the caller's span
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	code     result.Code
	snapshot uint64
	records  []record.Record
	matched  int
	receipt  string
	queued   int  // sub-requests queued at the owner VM when the attempt ended
	crashed  bool // the upstream is suspected to have crashed while running the attempt
}

// pendingKey identifies an attempt sent by this VM.
type pendingKey struct {
	subRequestID uint64
	attempt      int
}

// pendingAttempt is an attempt that has no result yet.
type pendingAttempt struct {
	owner      netip.AddrPort
	idempotent bool
	deliver    func(res attemptResult)
}

// pendingAttempts holds the attempts that this VM has sent and that have no result yet.
type pendingAttempts struct {
	byKey *table.Guarded[map[pendingKey]pendingAttempt]
}

func newPendingAttempts() *pendingAttempts {
	return &pendingAttempts{byKey: table.NewGuarded(table.RankPending, map[pendingKey]pendingAttempt{})}
}

func (a *pendingAttempts) add(k pendingKey, pending pendingAttempt) {
	a.byKey.With(func(m *map[pendingKey]pendingAttempt) { (*m)[k] = pending })
}

// remove deletes and returns an attempt. It returns false if the attempt already has a result or was
// cancelled.
func (a *pendingAttempts) remove(k pendingKey) (pendingAttempt, bool) {
	var pending pendingAttempt
	var ok bool
	a.byKey.With(func(m *map[pendingKey]pendingAttempt) {
		pending, ok = (*m)[k]
		delete(*m, k)
	})
	return pending, ok
}

// removeIdempotent deletes and returns the idempotent attempts sent to an owner VM. Orders stay,
// because their results may still arrive on the connection that the owner VM has opened.
func (a *pendingAttempts) removeIdempotent(owner netip.AddrPort) []pendingAttempt {
	var out []pendingAttempt
	a.byKey.With(func(m *map[pendingKey]pendingAttempt) {
		for k, pending := range *m {
			if pending.owner == owner && pending.idempotent {
				out = append(out, pending)
				delete(*m, k)
			}
		}
	})
	return out
}

// pendingReplies holds the requests to other VMs that await a reply.
type pendingReplies[T any] struct {
	channels *table.Guarded[map[uint64]chan T]
}

func newPendingReplies[T any]() *pendingReplies[T] {
	return &pendingReplies[T]{channels: table.NewGuarded(table.RankPending, map[uint64]chan T{})}
}

// register adds a request and returns the channel that receives its reply.
func (r *pendingReplies[T]) register(id uint64) <-chan T {
	ch := make(chan T, 1)
	r.channels.With(func(m *map[uint64]chan T) { (*m)[id] = ch })
	return ch
}

// unregister removes a request whose reply is no longer awaited.
func (r *pendingReplies[T]) unregister(id uint64) {
	r.channels.With(func(m *map[uint64]chan T) { delete(*m, id) })
}

// deliver passes a reply to the waiting request. It returns false if the request is no longer registered.
func (r *pendingReplies[T]) deliver(id uint64, reply T) bool {
	return table.WithResult(r.channels, func(m *map[uint64]chan T) bool {
		ch, ok := (*m)[id]
		if ok {
			ch <- reply // does not block: the channel is buffered and receives one reply
			delete(*m, id)
		}
		return ok
	})
}

// handoverStore holds the upstream state received from previous owner VMs until this VM acquires the
// upstreams.
type handoverStore struct {
	byUpstream *table.Guarded[*table.TTLMap[string, upstream.Handover]]
}

// handoverTTL is how long a received handover is kept. By then the takeover delay has passed, after
// which this VM acquires the upstream without one.
const handoverTTL = 5 * time.Second

func newHandoverStore() *handoverStore {
	const limit = 1 << 16 // exceeds the number of servers in any zone
	return &handoverStore{byUpstream: table.NewGuarded(table.RankPending, table.NewTTLMap[string, upstream.Handover](limit))}
}

func (h *handoverStore) put(now time.Time, name string, state upstream.Handover) {
	h.byUpstream.With(func(m **table.TTLMap[string, upstream.Handover]) {
		(*m).Put(name, state, now.Add(handoverTTL))
	})
}

func (h *handoverStore) remove(now time.Time, name string) upstream.Handover {
	var state upstream.Handover
	h.byUpstream.With(func(m **table.TTLMap[string, upstream.Handover]) {
		state, _ = (*m).Get(name, now)
		(*m).Delete(name)
	})
	return state
}
