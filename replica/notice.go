package replica

import (
	"slices"
	"time"

	"pistachioshore.dev/route"
	"pistachioshore.dev/table"
)

// Notice is what an upstream says about itself in a response, whatever the response is.
type Notice struct {
	Draining bool          // it is about to leave
	Rest     time.Duration // time for which it wants no requests from this VM; 0 if it does not say
	Limit    float64       // requests a second that it takes from all VMs together; 0 for no limit
}

// notices remembers the notices of upstreams. They outlive the entry of the upstream in the table, which may be removed
// and listed again.
//
// Precedence: an upstream that has said that it drains, to this VM or to another one, receives no requests until it
// starts again, whatever the platform lists. One that has asked this VM for a rest receives none from this VM until the
// rest ends or it starts again. A new start is a listing with another start time, service or address.
type notices struct {
	byServer *table.TTLMap[string, serverNotice]
}

// serverNotice holds the notices of one start of an upstream.
type serverNotice struct {
	startedAt time.Time
	draining  bool
	restUntil time.Time
}

func newNotices() notices {
	return notices{byServer: table.NewTTLMap[string, serverNotice](maxNotices)}
}

// of returns the notices of an upstream since its start.
func (n notices) of(now time.Time, id string, startedAt time.Time) serverNotice {
	s, ok := n.byServer.Get(id, now)
	if !ok || !s.startedAt.Equal(startedAt) {
		return serverNotice{startedAt: startedAt}
	}
	return s
}

func (n notices) put(now time.Time, id string, s serverNotice) {
	n.byServer.Put(id, s, now.Add(noticeRetention))
}

// RecordNotice applies a notice from a response of the upstream. It reports whether the notice says more than was
// known before.
func (t *Table) RecordNotice(now time.Time, s route.Server, n Notice) bool {
	return table.WithResult(t.state, func(st *state) bool { return st.recordNotice(now, s.ID, s.StartedAt, n) })
}

// RecordDraining records that an upstream with the given ID and start time has told another VM that it drains. It
// reports whether this was not known before. The upstream need not be listed yet.
func (t *Table) RecordDraining(now time.Time, id string, startedAt time.Time) bool {
	return table.WithResult(t.state, func(st *state) bool { return st.recordNotice(now, id, startedAt, Notice{Draining: true}) })
}

// SaidDraining returns the listed upstreams that have said that they drain.
func (t *Table) SaidDraining() []route.Server {
	return table.WithResult(t.state, func(st *state) []route.Server {
		var list []route.Server
		for _, r := range st.replicas {
			if r.notice.draining {
				list = append(list, r.server)
			}
		}
		return list
	})
}

func (st *state) recordNotice(now time.Time, id string, startedAt time.Time, n Notice) bool {
	if last, ok := st.notices.byServer.Get(id, now); ok && startedAt.Before(last.startedAt) {
		return false // about an earlier start
	}
	known := st.notices.of(now, id, startedAt)
	restUntil := now.Add(min(n.Rest, maxRest))
	isNew := (n.Draining && !known.draining) || (n.Rest > 0 && !now.Before(known.restUntil))
	known.draining = known.draining || n.Draining
	if n.Rest > 0 && restUntil.After(known.restUntil) {
		known.restUntil = restUntil
	}
	st.notices.put(now, id, known)
	if r, ok := st.replicas[id]; ok && r.server.StartedAt.Equal(startedAt) {
		r.notice = known
	}
	return isNew
}

// NextAvailable returns the times at which the replicas of the service that rest, or have reached their request limit, may
// receive requests of this VM again, earliest first. Replicas that may not receive requests for another reason are left
// out.
func (t *Table) NextAvailable(now time.Time, service string, regions []string) []time.Time {
	return table.WithResult(t.state, func(st *state) []time.Time {
		var times []time.Time
		for _, r := range st.services[service] {
			if at := r.availableAt(now); at.After(now) && st.eligible(at, r, regions) {
				times = append(times, at)
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		return times
	})
}

// resting reports whether the upstream has asked this VM for no requests at the moment.
func (r *replica) resting(now time.Time) bool {
	return now.Before(r.notice.restUntil)
}

// draining reports whether the upstream is about to leave, by its listing or by its own word.
func (r *replica) draining() bool {
	return r.server.Draining || r.notice.draining
}
