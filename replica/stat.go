package replica

import (
	"math"
	"slices"
	"time"

	"pistachioshore.dev/route"
)

// replica is the state of an upstream since its last start.
type replica struct {
	server     route.Server
	coldUntil  time.Time
	removeAt   time.Time // zero unless its entry was deleted
	misplaced  bool      // another upstream answered at its address
	pending    []pending
	coldStarts []time.Time

	slowness     float64 // moving average of the latency in median latencies; 1 if unknown
	failureShare float64 // moving average of the share of attempts that failed or were shed
	observed     time.Time
	answered     time.Time // time of the last valid answer
	typical      time.Duration
	load         Load
	loadedAt     time.Time
	lost         int // consecutive connection failures
	ejections    int
	suspects     []suspect // requests whose connection was lost, if the upstream has not answered since
	ejectedUntil time.Time
}

// crashSuspect is a request that may have crashed the upstream.
type suspect struct {
	fingerprint uint64
	at          time.Time
}

type pending struct {
	number uint64
	since  time.Time
}

func newReplica(now time.Time, s route.Server) *replica {
	r := &replica{slowness: 1, typical: defaultTypical, observed: now}
	r.update(now, s)
	return r
}

func (r *replica) update(now time.Time, s route.Server) {
	r.server = s
	r.removeAt = time.Time{}
	r.misplaced = false
	if s.WarmupLeft > 0 {
		r.coldUntil = now.Add(s.WarmupLeft)
	}
}

func (r *replica) removed(now time.Time) bool {
	return !r.removeAt.IsZero() && !now.Before(r.removeAt)
}

// oldestAge returns the age of the oldest pending attempt, or 0 if there is none.
func (r *replica) oldest(now time.Time) time.Duration {
	if len(r.pending) == 0 {
		return 0
	}
	return now.Sub(r.pending[0].since)
}

func (r *replica) stalled(now time.Time) bool {
	limit := max(time.Duration(stallFactor*r.aged(now, r.slowness, 1)*float64(r.typical)), stallFloor)
	return r.oldest(now) > limit
}

// decayed returns value after its exponential decay towards rest since the last observation.
func (r *replica) aged(now time.Time, value, rest float64) float64 {
	left := math.Exp(-float64(max(now.Sub(r.observed), 0)) / float64(forgetting))
	return rest + (value-rest)*left
}

// cost returns the expected latency of one more request, in median latencies.
func (r *replica) cost(now time.Time) float64 {
	slots := max(r.server.Slots, 1)
	busy := float64(len(r.pending))
	if now.Sub(r.loadedAt) < loadAge {
		busy = max(busy, float64(r.load.Running+r.load.Queued))
	}
	cost := r.aged(now, r.slowness, 1) * (1 + busy/float64(slots))
	if r.stalled(now) {
		cost += float64(r.oldest(now)) / float64(r.typical)
	}
	cost += r.aged(now, r.failureShare, 0) * failureCost
	if now.Before(r.ejectedUntil) || !r.removeAt.IsZero() {
		cost += failureCost
	}
	if now.Before(r.coldUntil) {
		cost *= 1.5
	}
	return cost
}

func (r *replica) end(now time.Time, number uint64, res Result) []uint64 {
	r.pending = slices.DeleteFunc(r.pending, func(p pending) bool { return p.number == number })
	if res.Load != nil {
		r.load, r.loadedAt = *res.Load, now
	}
	if res.MedianLatency > 0 {
		r.typical = res.MedianLatency
	}
	switch res.Outcome {
	case Succeeded:
		r.lost, r.ejections = 0, 0
		r.answered = now
		r.suspects = nil
		r.ejectedUntil = time.Time{}
		r.observe(now, res, 0)
	case Abandoned:
		r.atLeast(now, res)
	case Failed, Shed:
		r.lost = 0
		r.fail(now)
	case ConnectionLost:
		r.fail(now)
		r.eject(now)
		r.suspects = append(r.suspects, suspect{res.Fingerprint, now})
	case ConnectionRefused:
		r.fail(now)
		r.eject(now)
		return r.crashed(now)
	case WrongInstance:
		r.misplaced = true
	}
	return nil
}

// takeCrashSuspects returns and clears the fingerprints of the requests that may have crashed the upstream.
func (r *replica) crashed(now time.Time) []uint64 {
	var list []uint64
	for _, s := range r.suspects {
		if now.Sub(s.at) <= crashMemory {
			list = append(list, s.fingerprint)
		}
	}
	r.suspects = nil
	return list
}

// observationWeight is the weight of a new observation in the moving averages.
const weight = 0.3

func (r *replica) observe(now time.Time, res Result, failed float64) {
	slow := 1.0
	if res.MedianLatency > 0 {
		slow = min(float64(res.Elapsed)/float64(res.MedianLatency), mostSlowness)
	}
	r.slowness = r.aged(now, r.slowness, 1)*(1-weight) + slow*weight
	r.failureShare = r.aged(now, r.failureShare, 0)*(1-weight) + failed*weight
	r.observed = now
}

// observeAtLeast records the time of an attempt that was given up. It is a lower bound of the latency, so it
// counts only if it is above the current estimate.
func (r *replica) atLeast(now time.Time, res Result) {
	if res.MedianLatency <= 0 || float64(res.Elapsed)/float64(res.MedianLatency) <= r.aged(now, r.slowness, 1) {
		return
	}
	r.observe(now, res, r.aged(now, r.failureShare, 0))
}

func (r *replica) fail(now time.Time) {
	r.failureShare = r.aged(now, r.failureShare, 0)*(1-weight) + weight
	r.slowness = r.aged(now, r.slowness, 1)
	r.observed = now
}

// recordConnectionFailure counts a connection failure, and ejects the replica once there are several in a row.
func (r *replica) eject(now time.Time) {
	r.lost++
	if r.lost < ejectAfter || now.Before(r.ejectedUntil) {
		return
	}
	r.ejectedUntil = now.Add(min(ejectFirst<<min(r.ejections, 5), ejectLongest))
	r.ejections++
}
