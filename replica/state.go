package replica

import (
	"slices"
	"time"

	"pistachioshore.dev/route"
)

type state struct {
	settings    Settings
	replicas    map[string]*replica
	services    map[string][]*replica
	zones       map[string]*zoneHealth
	evacuated   map[string]bool
	memberCount int
	lastAttempt uint64
	notices     notices
	suspicions  CrashSuspicions
	shedUntil   time.Time // end of the time for which the last shed answer of any replica counts
	reports     ReportCounts
	// reportedZones are the zones that the VM that fans out this VM's queries reports as unreachable.
	reportedZones []string
}

func (st *state) put(now time.Time, s route.Server) {
	old, ok := st.replicas[s.ID]
	if ok && old.server.Service == s.Service && old.server.Address == s.Address && old.server.StartedAt.Equal(s.StartedAt) {
		old.update(now, s)
		return
	}
	if ok {
		st.drop(old)
	}
	r := newReplica(now, s)
	if !ok || !old.server.StartedAt.Equal(s.StartedAt) {
		r.notice = st.notices.of(now, s.ID, s.StartedAt)
	}
	st.replicas[s.ID] = r
	st.services[s.Service] = append(st.services[s.Service], r)
}

func (st *state) remove(now time.Time, id string, until time.Time) bool {
	r, ok := st.replicas[id]
	if !ok {
		return false
	}
	if !until.After(now) {
		st.drop(r)
		return true
	}
	if r.removeAt.IsZero() {
		r.removeAt = until
	}
	return true
}

func (st *state) extendRemoval(now time.Time, id string, until time.Time) {
	if r, ok := st.replicas[id]; ok && !r.removeAt.IsZero() && !r.removalDue(now) && until.After(r.removeAt) {
		r.removeAt = until
	}
}

func (st *state) drop(r *replica) {
	delete(st.replicas, r.server.ID)
	list := st.services[r.server.Service]
	st.services[r.server.Service] = slices.DeleteFunc(list, func(o *replica) bool { return o == r })
	if len(st.services[r.server.Service]) == 0 {
		delete(st.services, r.server.Service)
	}
}

// removeExpired drops the replicas of the service whose removal is due.
func (st *state) removeExpired(now time.Time, service string) {
	for _, r := range slices.Clone(st.services[service]) {
		if r.removalDue(now) {
			st.drop(r)
		}
	}
}

// eligible reports whether the replica may receive requests at all.
func (st *state) eligible(now time.Time, r *replica, regions []string) bool {
	if r.draining() || r.resting(now) || r.wrongInstance || r.removalDue(now) || st.evacuated[r.server.Zone] {
		return false
	}
	return len(regions) == 0 || slices.Contains(regions, st.settings.Regions[r.server.Zone])
}

// candidates returns the replicas that may receive requests. Ejected replicas are returned only if there are no
// others.
func (st *state) candidates(now time.Time, service string, regions []string, idempotent bool) []string {
	st.removeExpired(now, service)
	var healthy, ejected, unreachable []string
	for _, r := range st.services[service] {
		switch {
		case !st.eligible(now, r, regions) || r.limited(now):
		case st.unreachable(now, r.server.Zone):
			unreachable = append(unreachable, r.server.ID)
		case now.Before(r.ejectedUntil):
			ejected = append(ejected, r.server.ID)
		default:
			healthy = append(healthy, r.server.ID)
		}
	}
	if len(healthy) == 0 {
		return ejected
	}
	if idempotent {
		return append(healthy, unreachable...)
	}
	return healthy
}

// unusableCost is the cost of a replica that was removed or may not receive requests.
const unusableCost = 1e9

func (st *state) startAttempt(now time.Time, id string, service route.Service, share LimitShare, work time.Duration) (AttemptHandle, bool) {
	r, ok := st.replicas[id]
	if !ok || !st.eligible(now, r, nil) || r.limited(now) || !st.admitCold(now, r, service) {
		return AttemptHandle{}, false
	}
	limitShare := share.OtherZone
	if r.server.Zone == st.settings.Zone {
		limitShare = share.SameZone
	}
	r.limit.take(now, limitShare)
	st.zone(r.server.Zone).recordAttempt(now)
	st.lastAttempt++
	r.startPending(now, st.lastAttempt, workOf(work))
	h := AttemptHandle{Server: r.server, replica: r, number: st.lastAttempt}
	if r.limit.rate == 0 {
		h.untokenedShare = limitShare
	}
	return h, true
}

func (st *state) mayBeSent(now time.Time, h AttemptHandle) bool {
	r, ok := st.replicas[h.Server.ID]
	if !ok || r != h.replica || !st.eligible(now, r, nil) {
		return false
	}
	if h.untokenedShare == 0 || r.limit.rate == 0 {
		return true
	}
	if r.limited(now) {
		return false
	}
	r.limit.take(now, h.untokenedShare)
	return true
}

// admitCold reports whether the replica may receive one more request from this VM, and counts it if the replica
// is cold.
func (st *state) admitCold(now time.Time, r *replica, service route.Service) bool {
	if service.WarmupRate <= 0 || !now.Before(r.coldUntil) {
		return true
	}
	total := service.WarmupRate*st.settings.WarmupOvershoot + st.settings.WarmupSlack
	share := int(total) / st.memberCount
	r.coldRequests = slices.DeleteFunc(r.coldRequests, func(at time.Time) bool { return now.Sub(at) > coldWindow })
	if len(r.coldRequests) >= share {
		return false
	}
	r.coldRequests = append(r.coldRequests, now)
	return true
}

func (st *state) endAttempt(now time.Time, h AttemptHandle, res Result) AttemptEnd {
	if h.replica == nil {
		return AttemptEnd{}
	}
	end := h.replica.endAttempt(now, h.number, res, st)
	if until := h.replica.overload.shedUntil; until.After(st.shedUntil) {
		st.shedUntil = until
	}
	switch res.Outcome {
	case Succeeded, Failed, Shed, WrongInstance:
		st.zone(h.Server.Zone).recordAnswer()
	}
	return end
}

func (st *state) counts(now time.Time) Counts {
	c := Counts{Known: len(st.replicas)}
	for _, r := range st.replicas {
		if r.draining() {
			c.Draining++
		}
		if r.resting(now) {
			c.Resting++
		}
		if r.limit.rate > 0 {
			c.Limited++
		}
		if st.evacuated[r.server.Zone] {
			c.Evacuated++
		}
		if now.Before(r.coldUntil) {
			c.Cold++
		}
		if now.Before(r.ejectedUntil) {
			c.Ejected++
		}
		if r.slowdownCredibility.weight() < 1 || r.loadCredibility.weight() < 1 {
			c.Distrusted++
		}
		if r.slowdown(now) >= claimRatio {
			c.Slowed++
		}
	}
	return c
}
