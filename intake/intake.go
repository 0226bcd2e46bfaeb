// Package intake bounds what a VM holds for its clients: connections, and the bytes of heads, bodies and responses.
//
// It decides which connection is accepted, which request gets bytes, and which connection is given up. It opens, reads
// and closes nothing itself.
package intake

import (
	"cmp"
	"slices"
	"time"

	"pistachioshore.dev/table"
)

// Phase is the progress of a connection's current request.
type Phase uint8

// Phases of a connection. A connection that is running or idle is never given up.
const (
	Head       Phase = iota // the connection is new, or part of a head has arrived
	Body                    // the body is being read; the request has not been passed on
	Running                 // the request has been passed on
	Responding              // the response is being written, or the rest of the request is being discarded
	Idle                    // between two requests
)

// Verdict is the decision about a request for bytes.
type Verdict uint8

// Verdicts.
const (
	Granted Verdict = iota
	Waiting         // wait for the outcome until the limit on waits
	Refused         // the connection was given up
)

const (
	// smallBytes is what a small request may hold. Only small requests may use the reserved part of the budget.
	smallBytes = 64 << 10

	// reservedShare is the divisor of the budget that gives the reserved part.
	reservedShare = 8

	// minResponse and maxResponse bound what a request holds for its response in advance.
	minResponse = 4 << 10
	maxResponse = 128 << 10

	// responseSmoothing is the weight divisor of a new response in the mean size.
	responseSmoothing = 8
)

// Conn is the state of one connection.
type Conn[C any] struct {
	owner     C
	class     int
	number    uint64 // in the order of acceptance
	phase     Phase
	since     time.Time // start of the phase
	progress  time.Time // last bytes in either direction
	held      int64
	reserved  int64 // part of held for the response
	abandoned bool
	waiter    *Waiter[C]
}

// Waiter is a request for bytes that waits.
type Waiter[C any] struct {
	conn    *Conn[C]
	bytes   int64
	granted chan struct{}
}

// Granted returns a channel that is closed when the bytes have been granted.
func (w *Waiter[C]) Granted() <-chan struct{} { return w.granted }

// Victim is a connection to give up.
type Victim[C any] struct {
	Owner C
	Phase Phase
}

// Counts are the current amounts and the totals of decisions.
type Counts struct {
	Held        int64 // bytes
	Waiting     int   // requests that wait for bytes
	Connections []int // by class
	Stuck       []int // by class

	RefusedConnections   uint64 // connections closed when they were accepted
	RefusedRequests      uint64 // requests that got no bytes
	AbandonedConnections uint64 // stuck connections that were given up
}

// Table holds the connections of a VM. It is safe for concurrent use. C identifies a connection to the caller.
type Table[C any] struct {
	limits Limits
	state  *table.Guarded[state[C]]
}

type state[C any] struct {
	limits   Limits
	conns    map[*Conn[C]]struct{}
	perClass []int
	next     uint64
	held     int64
	response int64 // mean size of recent responses
	waiters  []*Waiter[C]
	counts   Counts
}

// New returns an empty table with the given limits.
func New[C any](l Limits) *Table[C] {
	return &Table[C]{l, table.NewGuarded(table.RankIntake, state[C]{
		limits: l, conns: map[*Conn[C]]struct{}{}, perClass: make([]int, len(l.Connections)), response: minResponse,
	})}
}

// Limits returns the limits of the table.
func (t *Table[C]) Limits() Limits { return t.limits }

// Open adds a connection. It returns nil if the connection has to be closed, because its class is full and no connection
// of the class is stuck. Otherwise the newest stuck one is given up for it.
func (t *Table[C]) Open(now time.Time, class int, owner C) (c *Conn[C], victims []Victim[C]) {
	t.state.With(func(s *state[C]) {
		if s.perClass[class] >= s.limits.Connections[class] {
			stuck := s.stuck(now, class)
			if len(stuck) == 0 {
				s.counts.RefusedConnections++
				return
			}
			victims = append(victims, s.abandon(stuck[0]))
			// The connection counts until it is closed, but a newcomer must not wait for that.
			s.remove(stuck[0])
		}
		s.next++
		c = &Conn[C]{owner: owner, class: class, number: s.next, since: now, progress: now}
		s.conns[c] = struct{}{}
		s.perClass[class]++
	})
	return c, victims
}

// Close removes a connection and returns its bytes. A request whose head was read just before gets no more.
func (t *Table[C]) Close(c *Conn[C]) {
	t.state.With(func(s *state[C]) {
		c.abandoned = true
		s.remove(c)
		s.releaseAll(c)
	})
}

// Enter starts a phase. It returns false if the connection was given up; a request must then not be passed on. A head that
// arrives during the request before it starts no phase.
func (t *Table[C]) Enter(now time.Time, c *Conn[C], p Phase) bool {
	return table.WithResult(t.state, func(s *state[C]) bool {
		if c.abandoned {
			return false
		}
		if p == Head && c.phase != Idle {
			return true
		}
		c.phase, c.since, c.progress = p, now, now
		if p == Idle {
			s.releaseAll(c)
		}
		return true
	})
}

// Progress records that bytes of the current request or response have moved.
func (t *Table[C]) Progress(now time.Time, c *Conn[C]) {
	t.state.With(func(*state[C]) { c.progress = now })
}

// Acquire asks for bytes of a head or a body before they are kept. If they are not available, connections without
// progress are given up.
func (t *Table[C]) Acquire(now time.Time, c *Conn[C], n int64) (v Verdict, w *Waiter[C], victims []Victim[C]) {
	t.state.With(func(s *state[C]) { v, w, victims = s.acquire(now, c, n) })
	return v, w, victims
}

// Begin starts the body phase of a request and asks for bytes for its response. Their number follows recent responses.
func (t *Table[C]) Begin(now time.Time, c *Conn[C]) (v Verdict, w *Waiter[C], victims []Victim[C]) {
	t.state.With(func(s *state[C]) {
		if c.abandoned {
			v = Refused
			return
		}
		c.phase, c.since, c.progress = Body, now, now
		c.reserved = s.response
		v, w, victims = s.acquire(now, c, s.response)
	})
	return v, w, victims
}

// Cancel ends a wait. It returns true if the bytes were granted after all.
func (t *Table[C]) Cancel(w *Waiter[C]) bool {
	return table.WithResult(t.state, func(s *state[C]) bool {
		select {
		case <-w.granted:
			return !w.conn.abandoned
		default:
		}
		s.drop(w)
		s.counts.RefusedRequests++
		return false
	})
}

// Release returns all bytes of a connection, whose request has been refused.
func (t *Table[C]) Release(c *Conn[C]) {
	t.state.With(func(s *state[C]) { s.releaseAll(c) })
}

// Respond starts the response, which has n bytes. They exist already and are therefore always granted.
func (t *Table[C]) Respond(now time.Time, c *Conn[C], n int64) {
	t.state.With(func(s *state[C]) {
		if _, open := s.conns[c]; !open {
			return
		}
		c.phase, c.since, c.progress = Responding, now, now
		s.response += (min(max(n, minResponse), maxResponse) - s.response) / responseSmoothing
		more := n - c.reserved
		c.reserved = 0
		if more < 0 {
			s.release(c, min(-more, c.held))
			return
		}
		c.held += more
		s.held += more
	})
}

// Sweep gives up the newest stuck connections beyond the bound of each class, and those without progress while others
// wait for bytes.
func (t *Table[C]) Sweep(now time.Time) (victims []Victim[C]) {
	t.state.With(func(s *state[C]) {
		for class, bound := range s.limits.Stuck {
			if s.perClass[class] <= bound {
				continue
			}
			stuck := s.stuck(now, class)
			for _, c := range stuck[:max(len(stuck)-bound, 0)] {
				victims = append(victims, s.abandon(c))
			}
		}
		if len(s.waiters) > 0 || (s.limits.Bytes > 0 && s.held > s.limits.Bytes) {
			victims = append(victims, s.makeRoom(now, max(s.waitingBytes(), s.held-s.limits.Bytes))...)
		}
	})
	return victims
}

// Counts returns the current amounts and the totals.
func (t *Table[C]) Counts(now time.Time) Counts {
	return table.WithResult(t.state, func(s *state[C]) Counts {
		n := s.counts
		n.Held, n.Waiting, n.Connections = s.held, len(s.waiters), slices.Clone(s.perClass)
		for class := range s.perClass {
			n.Stuck = append(n.Stuck, len(s.stuck(now, class)))
		}
		return n
	})
}

func (s *state[C]) acquire(now time.Time, c *Conn[C], n int64) (Verdict, *Waiter[C], []Victim[C]) {
	if c.abandoned {
		return Refused, nil, nil
	}
	if s.fits(c, n) && (s.isSmall(c, n) || !s.largeWaits()) {
		s.grant(c, n)
		return Granted, nil, nil
	}
	w := &Waiter[C]{c, n, make(chan struct{})}
	c.waiter = w
	s.waiters = append(s.waiters, w)
	return Waiting, w, s.makeRoom(now, s.waitingBytes())
}

// isSmall reports whether a request is small with n further bytes. What it holds for its response does not count.
func (s *state[C]) isSmall(c *Conn[C], n int64) bool { return c.held-c.reserved+n <= smallBytes }

// largeWaits reports whether a large request waits; a later one must not overtake it.
func (s *state[C]) largeWaits() bool {
	return slices.ContainsFunc(s.waiters, func(w *Waiter[C]) bool { return !s.isSmall(w.conn, w.bytes) })
}

// fits reports whether the connection can be granted n bytes. A request that is alone always can.
func (s *state[C]) fits(c *Conn[C], n int64) bool {
	if s.limits.Bytes <= 0 || s.held == c.held {
		return true
	}
	available := s.limits.Bytes
	if !s.isSmall(c, n) {
		available -= available / reservedShare
	}
	return s.held+n <= available
}

func (s *state[C]) grant(c *Conn[C], n int64) {
	c.held += n
	s.held += n
}

func (s *state[C]) releaseAll(c *Conn[C]) {
	c.reserved = 0
	if c.held > 0 {
		s.release(c, c.held)
	}
}

// release returns bytes and grants them to waiting requests: small ones first, then in the order of their arrival.
func (s *state[C]) release(c *Conn[C], n int64) {
	c.held -= n
	s.held -= n
	if len(s.waiters) == 0 {
		return
	}
	for _, small := range []bool{true, false} {
		for _, w := range slices.Clone(s.waiters) {
			if s.isSmall(w.conn, w.bytes) != small {
				continue
			}
			if !s.fits(w.conn, w.bytes) {
				break
			}
			s.drop(w)
			s.grant(w.conn, w.bytes)
			close(w.granted)
		}
	}
}

func (s *state[C]) drop(w *Waiter[C]) {
	w.conn.waiter = nil
	s.waiters = slices.DeleteFunc(s.waiters, func(o *Waiter[C]) bool { return o == w })
}

func (s *state[C]) waitingBytes() int64 {
	var n int64
	for _, w := range s.waiters {
		n += w.bytes
	}
	return n
}

// makeRoom gives up connections that hold bytes and make no progress, the longest without progress first, until they
// hold n bytes together with those that were given up and are not closed yet.
func (s *state[C]) makeRoom(now time.Time, n int64) (victims []Victim[C]) {
	var stalled []*Conn[C]
	for c := range s.conns {
		switch {
		case c.held == 0:
		case c.abandoned:
			n -= c.held
		case c.mayAbandon() && c.waiter == nil && now.Sub(c.progress) >= s.limits.Stall:
			stalled = append(stalled, c)
		}
	}
	slices.SortFunc(stalled, func(a, b *Conn[C]) int {
		return cmp.Or(a.progress.Compare(b.progress), cmp.Compare(b.number, a.number))
	})
	for _, c := range stalled {
		if n <= 0 {
			break
		}
		n -= c.held
		victims = append(victims, s.abandon(c))
	}
	return victims
}

// mayAbandon reports whether the connection may be given up.
func (c *Conn[C]) mayAbandon() bool {
	return !c.abandoned && c.phase != Running && c.phase != Idle
}

// stuck returns the stuck connections of a class, the newest first. A head or a body is stuck if it takes too long, even
// if bytes arrive; a response, if its client reads nothing.
func (s *state[C]) stuck(now time.Time, class int) []*Conn[C] {
	var list []*Conn[C]
	for c := range s.conns {
		since := c.since
		if c.phase == Responding {
			since = c.progress
		}
		if c.class == class && c.mayAbandon() && now.Sub(since) >= s.limits.Stall {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *Conn[C]) int { return cmp.Compare(b.number, a.number) })
	return list
}

func (s *state[C]) abandon(c *Conn[C]) Victim[C] {
	c.abandoned = true
	s.counts.AbandonedConnections++
	return Victim[C]{c.owner, c.phase}
}

// remove ends the count of a connection.
func (s *state[C]) remove(c *Conn[C]) {
	if _, ok := s.conns[c]; !ok {
		return
	}
	delete(s.conns, c)
	s.perClass[c.class]--
	if c.waiter != nil {
		s.drop(c.waiter)
	}
}
