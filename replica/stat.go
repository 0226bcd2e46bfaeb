package replica

import (
	"math"
	"slices"
	"time"

	"pistachioshore.dev/route"
)

// replica is the state of an upstream since its last start.
type replica struct {
	server        route.Server
	coldUntil     time.Time
	removeAt      time.Time // zero unless its entry was deleted
	wrongInstance bool      // another upstream answered at its address
	notice        serverNotice
	limit         requestLimit
	pending       []pendingAttempt
	coldRequests  []time.Time

	slowness           float64 // moving average of the latency in median latencies; 1 if unknown
	failureRate        float64 // moving average of the share of attempts that failed or were shed
	observedAt         time.Time
	answeredAt         time.Time // time of the last valid answer
	medianLatency      time.Duration
	load               Load
	loadReportedAt     time.Time
	connectionFailures int // consecutive connection failures
	ejections          int
	crashSuspects      []crashSuspect // requests whose connection was lost, if the upstream has not answered since
	probeAt            time.Time      // time of the probe that is due; zero if none is
	ejectedUntil       time.Time
	overload           overload
}

type pendingAttempt struct {
	number    uint64
	startedAt time.Time
}

func newReplica(now time.Time, s route.Server) *replica {
	r := &replica{slowness: 1, medianLatency: defaultMedianLatency, observedAt: now}
	r.update(now, s)
	return r
}

func (r *replica) update(now time.Time, s route.Server) {
	r.server = s
	r.removeAt = time.Time{}
	r.wrongInstance = false
	if s.WarmupLeft > 0 {
		r.coldUntil = now.Add(s.WarmupLeft)
	}
}

func (r *replica) removalDue(now time.Time) bool {
	return !r.removeAt.IsZero() && !now.Before(r.removeAt)
}

// oldestAge returns the age of the oldest pending attempt, or 0 if there is none.
func (r *replica) oldestAge(now time.Time) time.Duration {
	if len(r.pending) == 0 {
		return 0
	}
	return now.Sub(r.pending[0].startedAt)
}

func (r *replica) stalled(now time.Time) bool {
	limit := max(time.Duration(stallFactor*r.decayed(now, r.slowness, 1)*float64(r.medianLatency)), minStallAge)
	return r.oldestAge(now) > limit
}

// decayed returns value after its exponential decay towards rest since the last observation.
func (r *replica) decayed(now time.Time, value, rest float64) float64 {
	remaining := math.Exp(-float64(max(now.Sub(r.observedAt), 0)) / float64(decayTime))
	return rest + (value-rest)*remaining
}

// cost returns the expected latency of one more request, in median latencies.
func (r *replica) cost(now time.Time) float64 {
	slots := max(r.server.Slots, 1)
	running := float64(len(r.pending))
	if now.Sub(r.loadReportedAt) < maxLoadAge {
		running = max(running, float64(r.load.Running+r.load.Queued))
	}
	cost := r.decayed(now, r.slowness, 1) * (1 + running/float64(slots))
	if r.stalled(now) {
		cost += float64(r.oldestAge(now)) / float64(r.medianLatency)
	}
	cost += r.decayed(now, r.failureRate, 0) * failureCost
	if now.Before(r.ejectedUntil) || !r.removeAt.IsZero() {
		cost += failureCost
	}
	if now.Before(r.coldUntil) {
		cost *= 1.5
	}
	return cost
}

// endPending removes a pending attempt and returns the time at which it was started.
func (r *replica) endPending(number uint64) time.Time {
	i := slices.IndexFunc(r.pending, func(p pendingAttempt) bool { return p.number == number })
	if i < 0 {
		return time.Time{}
	}
	startedAt := r.pending[i].startedAt
	r.pending = slices.Delete(r.pending, i, i+1)
	return startedAt
}

func (r *replica) endAttempt(now time.Time, number uint64, res Result, n *CrashSuspicions) []uint64 {
	startedAt := r.endPending(number)
	r.overload.record(now, res, len(r.pending))
	if res.Load != nil {
		r.load, r.loadReportedAt = *res.Load, now
	}
	if res.MedianLatency > 0 {
		r.medianLatency = res.MedianLatency
	}
	switch res.Outcome {
	case Succeeded:
		r.connectionFailures, r.ejections = 0, 0
		r.answeredAt = now
		r.dismissCrashSuspects(startedAt, n)
		r.ejectedUntil = time.Time{}
		r.observe(now, res, 0)
	case Abandoned:
		r.observeAtLeast(now, res)
	case Failed, Shed:
		r.connectionFailures = 0
		r.observeFailure(now)
	case ConnectionLost:
		r.observeFailure(now)
		r.recordConnectionFailure(now)
		r.suspectCrash(now, res.Fingerprint, n)
	case ConnectionRefused:
		r.observeFailure(now)
		r.recordConnectionFailure(now)
		return r.takeCrashSuspects(now, n)
	case WrongInstance:
		r.wrongInstance = true
	}
	return nil
}

// observationWeight is the weight of a new observation in the moving averages.
const observationWeight = 0.3

// observe adds an attempt to the moving averages; failed is its contribution to the failure rate, from 0 to 1.
func (r *replica) observe(now time.Time, res Result, failed float64) {
	slowness := 1.0
	if res.MedianLatency > 0 {
		slowness = min(float64(res.Elapsed)/float64(res.MedianLatency), maxSlowness)
	}
	r.slowness = r.decayed(now, r.slowness, 1)*(1-observationWeight) + slowness*observationWeight
	r.failureRate = r.decayed(now, r.failureRate, 0)*(1-observationWeight) + failed*observationWeight
	r.observedAt = now
}

// observeAtLeast records the time of an attempt that was given up. It is a lower bound of the latency, so it
// counts only if it is above the current estimate.
func (r *replica) observeAtLeast(now time.Time, res Result) {
	if res.MedianLatency <= 0 || float64(res.Elapsed)/float64(res.MedianLatency) <= r.decayed(now, r.slowness, 1) {
		return
	}
	r.observe(now, res, r.decayed(now, r.failureRate, 0))
}

func (r *replica) observeFailure(now time.Time) {
	r.failureRate = r.decayed(now, r.failureRate, 0)*(1-observationWeight) + observationWeight
	r.slowness = r.decayed(now, r.slowness, 1)
	r.observedAt = now
}

// recordConnectionFailure counts a connection failure, and ejects the replica once there are several in a row.
func (r *replica) recordConnectionFailure(now time.Time) {
	r.connectionFailures++
	if r.connectionFailures < ejectThreshold || now.Before(r.ejectedUntil) {
		return
	}
	r.ejectedUntil = now.Add(min(minEjectTime<<min(r.ejections, 5), maxEjectTime))
	r.ejections++
}
