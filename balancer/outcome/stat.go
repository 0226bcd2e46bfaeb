package outcome

import (
	"math"
	"time"

	"pistachioshore.dev/balancer"
)

// candidateStats holds the statistics of one candidate.
type candidateStats struct {
	estimate       float64 // latency in nanoseconds, 0 if unknown
	observedAt     time.Time
	inFlight       int
	startedAt      time.Time // start of the last attempt
	reportedLoad   int
	loadReportedAt time.Time // when the load was reported
	failures       int       // consecutive
	sheds          int       // consecutive
	refusedAt      time.Time // last failure or shed request
	ejections      int       // since the last success
	ejectedUntil   time.Time
}

// cheaper reports whether a costs less than b. If the costs are about equal, the reported load
// decides.
func (a *candidateStats) cheaper(now time.Time, b *candidateStats) bool {
	costA, costB := 1.0, 1.0
	if a.hasEstimate(now) && b.hasEstimate(now) {
		lower := min(a.estimate, b.estimate)
		costA = a.decayedEstimate(now, lower)
		costB = b.decayedEstimate(now, lower)
	}
	costA *= a.costFactor(now)
	costB *= b.costFactor(now)
	if max(costA, costB) > tieRatio*min(costA, costB) {
		return costA < costB
	}
	return a.hasRecentLoad(now) && b.hasRecentLoad(now) && a.reportedLoad < b.reportedLoad
}

func (a *candidateStats) hasRecentLoad(now time.Time) bool {
	return now.Sub(a.loadReportedAt) < loadTTL
}

func (a *candidateStats) hasEstimate(now time.Time) bool {
	return a.estimate > 0 && now.Sub(a.observedAt) < forgetAfter
}

// decayedEstimate returns the estimate, decayed towards the lower of the two compared estimates. If it
// decayed towards zero, a replica that was avoided for some seconds would suddenly receive all the
// work.
func (a *candidateStats) decayedEstimate(now time.Time, lower float64) float64 {
	return lower + (a.estimate-lower)*decayFactor(a.observedAt, now)
}

// decayFactor returns the fraction of a cost that remains at now after exponential decay.
func decayFactor(since, now time.Time) float64 {
	return math.Exp(-float64(max(now.Sub(since), 0)) / float64(decayTime))
}

// costFactor returns the factor by which attempts in flight, recent failures and shed requests raise
// the cost.
func (a *candidateStats) costFactor(now time.Time) float64 {
	inFlight := a.inFlight
	if now.Sub(a.startedAt) >= forgetAfter {
		inFlight = 0
	}
	refusals := float64(min(a.failures+a.sheds, ejectAfter))
	return float64(inFlight+1) * (1 + refusals*decayFactor(a.refusedAt, now))
}

// startAttempt counts an attempt in flight and discards a leaked count.
func (a *candidateStats) startAttempt(now time.Time) {
	if now.Sub(a.startedAt) >= forgetAfter {
		a.inFlight = 0
	}
	a.inFlight++
	a.startedAt = now
}

func (a *candidateStats) observe(now time.Time, o balancer.Observation) {
	a.inFlight = max(a.inFlight-1, 0)
	elapsed := max(float64(o.Elapsed), minEstimate)
	switch {
	case o.OK:
		a.recordLoad(now, o.ReportedLoad)
		a.failures = 0
		a.sheds = 0
		if !now.Before(a.ejectedUntil) {
			a.ejections = 0
		}
		a.updateEstimate(now, elapsed)
	case o.Shed:
		a.recordLoad(now, o.ReportedLoad)
		a.sheds++
		a.refusedAt = now
	case o.Cancelled:
		a.raiseEstimate(now, elapsed)
	default:
		a.raiseEstimate(now, elapsed)
		a.recordFailure(now)
	}
}

func (a *candidateStats) recordLoad(now time.Time, load int) {
	a.reportedLoad = load
	a.loadReportedAt = now
}

// updateEstimate moves the estimate to the latency of an answer. A higher latency applies immediately,
// limited by maxRiseFactor; a lower one is weighted by the time since the last sample.
func (a *candidateStats) updateEstimate(now time.Time, elapsed float64) {
	switch {
	case !a.hasEstimate(now):
		a.estimate = elapsed
	case elapsed > a.estimate:
		a.estimate = min(elapsed, a.estimate*maxRiseFactor)
	default:
		a.estimate = elapsed + (a.estimate-elapsed)*decayFactor(a.observedAt, now)
	}
	a.observedAt = now
}

// raiseEstimate records a lower bound of the latency, which can only raise the estimate.
func (a *candidateStats) raiseEstimate(now time.Time, elapsed float64) {
	if a.hasEstimate(now) && elapsed > a.estimate {
		a.updateEstimate(now, elapsed)
	}
}

// recordFailure counts a failure and ejects the candidate after enough consecutive ones. Failures
// during an ejection do not extend it, because they belong to attempts that were already in flight.
func (a *candidateStats) recordFailure(now time.Time) {
	a.failures++
	a.refusedAt = now
	if a.failures < ejectAfter || now.Before(a.ejectedUntil) {
		return
	}
	doublings := min(a.ejections, 5)
	a.ejectedUntil = now.Add(min(minEjectTime<<doublings, maxEjectTime))
	a.ejections++
}
