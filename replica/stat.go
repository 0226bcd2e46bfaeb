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

	slowness            float64 // moving average of the latency over the expected one; 1 if unknown
	failureRate         float64 // moving average of the share of attempts that failed or were shed
	observedAt          time.Time
	answeredAt          time.Time // time of the last valid answer
	pendingWork         float64   // expected work of the pending attempts, in nanoseconds
	meanWork            float64   // moving average of the expected work of an attempt, in nanoseconds; 0 if unknown
	report              loadReport
	slowdownCredibility credibility
	loadCredibility     credibility
	connectionFailures  int // consecutive connection failures
	ejections           int
	crashSuspects       []crashSuspect // requests whose connection was lost, if the upstream has not answered since
	probeAt             time.Time      // time of the probe that is due; zero if none is
	ejectedUntil        time.Time
	overload            overload
}

// pendingAttempt is an attempt in flight with what was expected of it when it was started.
type pendingAttempt struct {
	number    uint64
	startedAt time.Time
	work      float64    // in nanoseconds
	ownWait   float64    // wait for a slot because of this VM's attempts, at usual speed, in nanoseconds
	wait      float64    // the same because of all requests
	slowdown  float64    // reported slowdown as far as it counted
	report    loadReport // latest report
}

func newReplica(now time.Time, s route.Server) *replica {
	r := &replica{slowness: 1, slowdownCredibility: newCredibility(), loadCredibility: newCredibility(), observedAt: now}
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

func (r *replica) stalled(now time.Time) bool {
	return r.stalledFor(now, r.decayed(now, r.slowness, 1)*r.slowdown(now)) > 0
}

// decayed returns value after its exponential decay towards rest since the last observation.
func (r *replica) decayed(now time.Time, value, rest float64) float64 {
	remaining := math.Exp(-float64(max(now.Sub(r.observedAt), 0)) / float64(decayTime))
	return rest + (value-rest)*remaining
}

// startPending adds an attempt with the given expected work in nanoseconds.
func (r *replica) startPending(now time.Time, number uint64, work float64) {
	r.pending = append(r.pending, pendingAttempt{
		number: number, startedAt: now, work: work, report: r.report,
		ownWait: r.ownWait(), wait: r.expectedWait(now, work), slowdown: r.slowdown(now),
	})
	r.pendingWork += work
	r.meanWork = r.requestWork(work)*(1-observationWeight) + work*observationWeight
}

// endPending removes a pending attempt and returns it. It returns false if the attempt has ended before.
func (r *replica) endPending(number uint64) (pendingAttempt, bool) {
	i := slices.IndexFunc(r.pending, func(p pendingAttempt) bool { return p.number == number })
	if i < 0 {
		return pendingAttempt{}, false
	}
	p := r.pending[i]
	r.pending = slices.Delete(r.pending, i, i+1)
	r.pendingWork -= p.work
	if len(r.pending) == 0 {
		r.pendingWork = 0 // drops what rounding has left
	}
	return p, true
}

func (r *replica) endAttempt(now time.Time, number uint64, res Result, st *state) AttemptEnd {
	p, ok := r.endPending(number)
	r.overload.record(now, res, len(r.pending))
	if res.Load != nil {
		r.report = loadReport{*res.Load, now}
	}
	if !ok {
		return AttemptEnd{}
	}
	var end AttemptEnd
	switch res.Outcome {
	case Succeeded:
		r.connectionFailures, r.ejections = 0, 0
		r.answeredAt = now
		r.dismissCrashSuspects(p.startedAt, &st.suspicions)
		r.ejectedUntil = time.Time{}
		if res.Load != nil {
			r.compareReports(now, p, res.Elapsed, &st.reports)
		}
		end.Work = r.work(now, p, res.Elapsed)
		r.observe(now, r.latencyRatio(now, p, res.Elapsed), 0)
	case Abandoned:
		end.Work = r.work(now, p, res.Elapsed)
		r.observeAtLeast(now, r.latencyRatio(now, p, res.Elapsed))
	case Failed, Shed:
		r.connectionFailures = 0
		r.observeFailure(now)
	case ConnectionLost:
		r.observeFailure(now)
		r.recordConnectionFailure(now)
		r.suspectCrash(now, res.Fingerprint, &st.suspicions)
	case ConnectionRefused:
		r.observeFailure(now)
		r.recordConnectionFailure(now)
		end.Crashed = r.takeCrashSuspects(now, &st.suspicions)
	case WrongInstance:
		r.wrongInstance = true
	}
	return end
}

// slowdownDuring returns the mean of the reported slowdowns at the start and at the end of an attempt, as far as they
// count.
func (r *replica) slowdownDuring(now time.Time, p pendingAttempt) float64 {
	return (p.slowdown + r.slowdown(now)) / 2
}

// latencyRatio returns the time of an attempt over the time that was expected for an upstream of usual speed.
func (r *replica) latencyRatio(now time.Time, p pendingAttempt, elapsed time.Duration) float64 {
	return min(float64(elapsed)/((p.work+p.wait)*r.slowdownDuring(now, p)), maxSlowness)
}

// work returns the work of an attempt by the time that it took: without its share of waiting and slowdown.
func (r *replica) work(now time.Time, p pendingAttempt, elapsed time.Duration) time.Duration {
	return time.Duration(float64(elapsed) * p.work / (p.work + p.wait) / r.slowdownDuring(now, p))
}

// observationWeight is the weight of a new observation in the moving averages.
const observationWeight = 0.3

// observe adds an attempt to the moving averages; ratio is its time over the expected one, failed its contribution to the
// failure rate, from 0 to 1.
func (r *replica) observe(now time.Time, ratio, failed float64) {
	r.slowness = r.decayed(now, r.slowness, 1)*(1-observationWeight) + ratio*observationWeight
	r.failureRate = r.decayed(now, r.failureRate, 0)*(1-observationWeight) + failed*observationWeight
	r.observedAt = now
}

// observeAtLeast records the time of an attempt that was given up. It is a lower bound of the latency, so it
// counts only if it is above the current estimate.
func (r *replica) observeAtLeast(now time.Time, ratio float64) {
	if ratio > r.decayed(now, r.slowness, 1) {
		r.observe(now, ratio, r.decayed(now, r.failureRate, 0))
	}
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
