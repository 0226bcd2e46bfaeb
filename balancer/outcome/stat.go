package outcome

import (
	"math"
	"time"

	"pistachioshore.dev/balancer"
)

// stat is what was observed of one candidate.
type stat struct {
	estimate     float64 // nanoseconds, 0 if there is none
	observed     time.Time
	inFlight     int
	started      time.Time // last start of an attempt
	load         int
	loaded       time.Time // time of the load
	failures     int       // in a row
	sheds        int       // in a row
	refused      time.Time // last failure or shed
	ejections    int       // without a success in between
	ejectedUntil time.Time
}

// cheaper reports whether a costs less than b; between equal costs the reported load decides.
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

// aged returns the estimate after its decay towards the lower one of two candidates. Decay towards
// zero would send all work at once to a replica that was left alone for some seconds.
func (a *stat) aged(now time.Time, lower float64) float64 {
	return lower + (a.estimate-lower)*left(a.observed, now)
}

// left returns the share of a cost that remains at now.
func left(since, now time.Time) float64 {
	return math.Exp(-float64(max(now.Sub(since), 0)) / float64(decay))
}

// weight is the factor by which attempts in flight and recent failures and sheds raise the cost.
func (a *stat) weight(now time.Time) float64 {
	inFlight := a.inFlight
	if now.Sub(a.started) >= forgetAfter {
		inFlight = 0
	}
	refusals := float64(min(a.failures+a.sheds, ejectAfter))
	return float64(inFlight+1) * (1 + refusals*left(a.refused, now))
}

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

// update takes the time of an answer: the peak at once, up to maxRise, and a lower time with the
// weight of the time since the last result.
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

// raise takes a time that says only that the candidate is no faster.
func (a *stat) raise(now time.Time, elapsed float64) {
	if a.known(now) && elapsed > a.estimate {
		a.update(now, elapsed)
	}
}

// fail ejects after enough failures in a row. Attempts that were under way at an ejection do not
// lengthen it.
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
