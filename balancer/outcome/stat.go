package outcome

import (
	"math"
	"time"

	"pistachioshore.dev/balancer"
)

// stat holds the statistics of one candidate.
type stat struct {
	estimate     float64 // latency in nanoseconds, 0 if unknown
	observed     time.Time
	inFlight     int
	started      time.Time // start of the last attempt
	load         int
	loaded       time.Time // when the load was reported
	failures     int       // consecutive
	sheds        int       // consecutive
	refused      time.Time // last failure or shed request
	ejections    int       // since the last success
	ejectedUntil time.Time
}

// cheaper reports whether a costs less than b. If the costs are about equal, the reported load
// decides.
func (a *stat) cheaper(now time.Time, b *stat) bool {
	x, y := 1.0, 1.0
	if a.known(now) && b.known(now) {
		lower := min(a.estimate, b.estimate)
		x = a.aged(now, lower)
		y = b.aged(now, lower)
	}
	x *= a.weight(now)
	y *= b.weight(now)
	if max(x, y) > tied*min(x, y) {
		return x < y
	}
	return a.loadKnown(now) && b.loadKnown(now) && a.load < b.load
}

func (a *stat) loadKnown(now time.Time) bool {
	return now.Sub(a.loaded) < loadAge
}

func (a *stat) known(now time.Time) bool {
	return a.estimate > 0 && now.Sub(a.observed) < forgetAfter
}

// aged returns the estimate, decayed towards the lower of the two compared estimates. If it decayed
// towards zero, a replica that was avoided for some seconds would suddenly receive all the work.
func (a *stat) aged(now time.Time, lower float64) float64 {
	return lower + (a.estimate-lower)*left(a.observed, now)
}

// left returns the fraction of a cost that remains at now after exponential decay.
func left(since, now time.Time) float64 {
	return math.Exp(-float64(max(now.Sub(since), 0)) / float64(decay))
}

// weight returns the factor by which attempts in flight, recent failures and shed requests raise the
// cost.
func (a *stat) weight(now time.Time) float64 {
	inFlight := a.inFlight
	if now.Sub(a.started) >= forgetAfter {
		inFlight = 0
	}
	refusals := float64(min(a.failures+a.sheds, ejectAfter))
	return float64(inFlight+1) * (1 + refusals*left(a.refused, now))
}

// start counts an attempt in flight and discards a leaked count.
func (a *stat) start(now time.Time) {
	if now.Sub(a.started) >= forgetAfter {
		a.inFlight = 0
	}
	a.inFlight++
	a.started = now
}

func (a *stat) observe(now time.Time, o balancer.Observation) {
	a.inFlight = max(a.inFlight-1, 0)
	elapsed := max(float64(o.Elapsed), leastEstimate)
	switch {
	case o.OK:
		a.report(now, o.ReportedLoad)
		a.failures = 0
		a.sheds = 0
		if !now.Before(a.ejectedUntil) {
			a.ejections = 0
		}
		a.update(now, elapsed)
	case o.Shed:
		a.report(now, o.ReportedLoad)
		a.sheds++
		a.refused = now
	case o.Cancelled:
		a.raise(now, elapsed)
	default:
		a.raise(now, elapsed)
		a.fail(now)
	}
}

func (a *stat) report(now time.Time, load int) {
	a.load = load
	a.loaded = now
}

// update moves the estimate to the latency of an answer. A higher latency applies at once, limited by
// maxRise; a lower one is weighted by the time since the last sample.
func (a *stat) update(now time.Time, elapsed float64) {
	switch {
	case !a.known(now):
		a.estimate = elapsed
	case elapsed > a.estimate:
		a.estimate = min(elapsed, a.estimate*maxRise)
	default:
		a.estimate = elapsed + (a.estimate-elapsed)*left(a.observed, now)
	}
	a.observed = now
}

// raise records a lower bound of the latency, which can only raise the estimate.
func (a *stat) raise(now time.Time, elapsed float64) {
	if a.known(now) && elapsed > a.estimate {
		a.update(now, elapsed)
	}
}

// fail counts a failure and ejects the candidate after enough consecutive ones. Failures during an
// ejection do not extend it, because they belong to attempts that were already in flight.
func (a *stat) fail(now time.Time) {
	a.failures++
	a.refused = now
	if a.failures < ejectAfter || now.Before(a.ejectedUntil) {
		return
	}
	doublings := min(a.ejections, 5)
	a.ejectedUntil = now.Add(min(ejectFirst<<doublings, ejectLongest))
	a.ejections++
}
