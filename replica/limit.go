package replica

import (
	"math"
	"time"

	"pistachioshore.dev/route"
	"pistachioshore.dev/table"
)

// LimitShare is the fraction of an upstream's request limit that this VM may use. The fractions of all VMs at one upstream
// add up to 1 at most.
type LimitShare struct {
	SameZone  float64 // at an upstream in the zone of this VM
	OtherZone float64 // at an upstream in another zone
}

// requestLimit is the limit that an upstream has named for the requests of all VMs together, and the token bucket for this
// VM's share of it.
type requestLimit struct {
	rate       float64 // requests a second of all VMs; 0 if it has named none
	share      float64 // fraction of rate that this VM may use
	tokens     float64 // requests that this VM may send now
	refilledAt time.Time
}

// set records the limit that a response has named, 0 for none. The bucket of a new limit is empty, because the upstream has
// just received requests at the rate before.
func (l *requestLimit) set(now time.Time, rate float64) {
	level := l.level(now)
	if l.rate == 0 {
		level = 0
	}
	l.tokens, l.refilledAt, l.rate = level, now, rate
}

// perSecond returns the rate at which tokens are added.
func (l *requestLimit) perSecond() float64 {
	return max(l.rate*l.share, minLimitRate)
}

// level returns the number of tokens at the given time.
func (l *requestLimit) level(at time.Time) float64 {
	elapsed := max(at.Sub(l.refilledAt), 0)
	return min(l.tokens+elapsed.Seconds()*l.perSecond(), max(l.perSecond()*limitBurst.Seconds(), 1))
}

// allowsAt returns the earliest time from now on at which the limit allows a request.
func (l *requestLimit) allowsAt(now time.Time) time.Time {
	if l.rate == 0 {
		return now
	}
	missing := 1 - l.level(now)
	if missing <= tokenTolerance {
		return now
	}
	return now.Add(time.Duration(math.Ceil(missing / l.perSecond() * float64(time.Second))))
}

// take uses the token of one request with the present share.
func (l *requestLimit) take(now time.Time, share float64) {
	l.tokens, l.refilledAt, l.share = l.level(now)-1, now, share
}

// RecordLimit records the number of requests a second that an upstream takes from all VMs together, 0 for no limit, as a
// response says. It reports whether the upstream has begun or ceased to name a limit.
func (t *Table) RecordLimit(now time.Time, s route.Server, rate float64) bool {
	return table.WithResult(t.state, func(st *state) bool {
		r, ok := st.replicas[s.ID]
		if !ok || !r.server.StartedAt.Equal(s.StartedAt) {
			return false // about an earlier start
		}
		changed := (r.limit.rate == 0) != (rate == 0)
		r.limit.set(now, rate)
		return changed
	})
}

// availableAt returns the earliest time from now on at which the upstream wants another request of this VM, by the rest
// and the limit that it has asked for.
func (r *replica) availableAt(now time.Time) time.Time {
	if r.resting(now) {
		return r.limit.allowsAt(r.notice.restUntil)
	}
	return r.limit.allowsAt(now)
}

// limited reports whether the upstream's request limit allows no request of this VM now.
func (r *replica) limited(now time.Time) bool {
	return r.limit.allowsAt(now).After(now)
}
