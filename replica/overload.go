package replica

import (
	"slices"
	"time"

	"pistachioshore.dev/table"
)

const (
	// sheddingCost is the cost, in median latencies, of a replica that shed a request a moment ago. It exceeds what a
	// replica costs that is slow or failing, and is less than that of one in an unreachable zone. A replica that only has
	// as many attempts in flight as it accepts costs no more than by its load: another one may have room because it sheds.
	sheddingCost = 60.0

	// maxShedDoublings bounds the time for which repeated shed answers count against an upstream: 2 doublings make it four
	// times the first, half of a target of which the window is an eighth.
	maxShedDoublings = 2
)

// overload is what this VM knows about the requests that an upstream accepts. It is empty until the upstream sheds a
// request, so that an upstream that never sheds is never full.
type overload struct {
	shedUntil time.Time // end of the time for which the last shed answer counts
	sheds     int       // shed answers since the last other answer
	// capacity is the number of running and waiting requests that the upstream held when it shed a request with all slots
	// in use; 0 if not known.
	capacity      int
	capacityUntil time.Time // when capacity is forgotten, because the upstream may have changed
	atCapacity    time.Time // end of the time for which a reported load at capacity counts
	// limit is the number of attempts that this VM keeps in flight there, because more were shed; 0 if not known. It falls
	// to what was in flight when an attempt was shed. With each as many answers as it allows attempts it falls by one if
	// requests wait at the upstream, where their order is that of arrival, and rises by one otherwise.
	limit      float64
	limitUntil time.Time // when limit is forgotten
}

// record learns from the result of an attempt.
func (o *overload) record(now time.Time, res Result, inFlight int) {
	switch res.Outcome {
	case Shed:
		o.recordShed(now, res, inFlight)
	case Succeeded, Failed:
		o.sheds, o.shedUntil = 0, time.Time{}
		switch {
		case o.limit == 0:
		case res.Load != nil && res.Load.Queued > 0:
			o.limit = max(o.limit-1/o.limit, 1)
		case float64(inFlight+1) >= o.limit:
			o.limit += 1 / o.limit
		}
		o.recordAccepted(now, res)
	}
}

func (o *overload) recordShed(now time.Time, res Result, inFlight int) {
	if res.ShedWindow <= 0 {
		return
	}
	if !now.Before(o.shedUntil) { // several answers to attempts sent together count as one
		o.sheds++
	}
	if until := now.Add(res.ShedWindow << min(o.sheds-1, maxShedDoublings)); until.After(o.shedUntil) {
		o.shedUntil = until
	}
	// An upstream that sheds while slots are free does so for another reason than its load.
	if l := res.Load; l != nil && l.Slots > 0 && l.Running >= l.Slots {
		o.capacity, o.capacityUntil = l.Running+l.Queued, now.Add(decayTime)
		if o.limit == 0 || !now.Before(o.limitUntil) || float64(inFlight) < o.limit {
			o.limit = float64(max(inFlight, 1))
		}
		o.limitUntil = now.Add(decayTime)
	}
}

// recordAccepted compares the load of an answer with the known capacity.
func (o *overload) recordAccepted(now time.Time, res Result) {
	if !now.Before(o.capacityUntil) {
		o.capacity = 0
	}
	if o.capacity == 0 || res.Load == nil {
		return
	}
	held := res.Load.Running + res.Load.Queued
	o.capacity = max(o.capacity, held)
	o.atCapacity = time.Time{}
	if held >= o.capacity {
		o.atCapacity = now.Add(res.ShedWindow)
	}
}

// shedding reports whether the upstream shed a request a moment ago.
func (r *replica) shedding(now time.Time) bool {
	return now.Before(r.overload.shedUntil)
}

// full reports whether the upstream would probably shed another request: it shed one a moment ago, the first attempt since
// then has not been answered, or it holds as many requests as it accepts.
func (r *replica) full(now time.Time) bool {
	o := &r.overload
	if o.sheds == 0 && o.capacity == 0 && o.limit == 0 {
		return false
	}
	if r.shedding(now) || now.Before(o.atCapacity) {
		return true
	}
	if n := len(r.pending); o.sheds > 0 && n > 0 && !r.pending[n-1].startedAt.Before(o.shedUntil) {
		return true
	}
	return o.limit > 0 && now.Before(o.limitUntil) && len(r.pending) >= int(o.limit)
}

// roomAt returns the time from which on the upstream may have room again, or the zero time if only the end of an attempt
// of this VM can tell.
func (r *replica) roomAt(now time.Time) time.Time {
	at := r.overload.shedUntil
	if r.overload.atCapacity.After(at) {
		at = r.overload.atCapacity
	}
	if !at.After(now) {
		return time.Time{}
	}
	return at
}

// WithRoom returns the IDs that are not full as far as this VM knows. If all are full, it returns the earliest time at
// which one of them may have room, or the zero time if only the end of an attempt of this VM can tell. It returns ids
// itself if none is full.
func (t *Table) WithRoom(now time.Time, ids []string) ([]string, time.Time) {
	return table.WithResults(t.state, func(st *state) ([]string, time.Time) { return st.withRoom(now, ids) })
}

func (st *state) withRoom(now time.Time, ids []string) ([]string, time.Time) {
	isFull := func(id string) bool {
		r, ok := st.replicas[id]
		return ok && r.full(now)
	}
	if !slices.ContainsFunc(ids, isFull) {
		return ids, time.Time{}
	}
	var roomAt time.Time
	var room []string
	for _, id := range ids {
		if !isFull(id) {
			room = append(room, id)
		} else if at := st.replicas[id].roomAt(now); !at.IsZero() && (roomAt.IsZero() || at.Before(roomAt)) {
			roomAt = at
		}
	}
	return room, roomAt
}

// ShedLately reports whether any replica shed a request a moment ago.
func (t *Table) ShedLately(now time.Time) bool {
	return table.WithResult(t.state, func(st *state) bool { return now.Before(st.shedUntil) })
}

// Shedding returns the number of the replicas that shed a request a moment ago, and the earliest time at which one of
// these may be tried again.
func (t *Table) Shedding(now time.Time, ids []string) (int, time.Time) {
	return table.WithResults(t.state, func(st *state) (int, time.Time) {
		n := 0
		var until time.Time
		for _, id := range ids {
			r, ok := st.replicas[id]
			if !ok || !r.shedding(now) {
				continue
			}
			n++
			if until.IsZero() || r.overload.shedUntil.Before(until) {
				until = r.overload.shedUntil
			}
		}
		return n, until
	})
}

// Slots returns the number of requests that the replicas run concurrently.
func (t *Table) Slots(ids []string) int {
	return table.WithResult(t.state, func(st *state) int {
		n := 0
		for _, id := range ids {
			if r, ok := st.replicas[id]; ok {
				n += max(r.server.Slots, 1)
			}
		}
		return n
	})
}
