package replica

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pistachioshore.dev/table"
)

// loadReport is a load report with the time at which it was received.
type loadReport struct {
	load Load
	at   time.Time // zero if there is none
}

// fresh reports whether the report still says something about the present load.
func (l loadReport) fresh(now time.Time) bool {
	return now.Sub(l.at) < maxLoadAge
}

// claimedSlowdown returns the slowdown that the report names, within bounds; 1 if it names none.
func (l loadReport) claimedSlowdown() float64 {
	if l.load.Slowdown <= 0 {
		return 1
	}
	return min(max(l.load.Slowdown, minSlowdown), maxSlowdown)
}

// wait returns the time that a request would wait for a slot by the report, in units of the mean work there.
func (l loadReport) wait(slots float64) float64 {
	return max(float64(l.load.Running+l.load.Queued)-slots, 0) / slots
}

// credibility is the weight of one kind of claim in an upstream's reports.
type credibility struct {
	agreement float64 // moving average of the share of claims that attempts have not contradicted
}

func newCredibility() credibility {
	return credibility{agreement: 1}
}

// weight returns the weight of the claims, from 0 to 1. Right claims are contradicted now and then, because requests of
// one class differ in their work.
func (c credibility) weight() float64 {
	return min(max((c.agreement-minAgreement)*credibilityGain, 0), 1)
}

// slowdown returns how long work takes at the upstream by its latest report, 1 for as usual. The report loses its weight
// evenly until it is no longer fresh, because the slowdown changes several times a second.
func (r *replica) slowdown(now time.Time) float64 {
	if r.report.load.Slowdown <= 0 || !r.report.fresh(now) {
		return 1
	}
	age := float64(max(now.Sub(r.report.at), 0)) / float64(maxLoadAge)
	return 1 + (r.report.claimedSlowdown()-1)*r.slowdownCredibility.weight()*(1-age)
}

// slots returns the number of requests that the upstream runs concurrently.
func (r *replica) slots() float64 {
	return float64(max(r.server.Slots, 1))
}

// remainingWork returns the work that the upstream has to do before it is free: that of this VM's attempts, or what it
// reports if that is more. unit is the work of a request whose work is not known.
func (r *replica) remainingWork(now time.Time, unit float64) float64 {
	if r.report.fresh(now) {
		reported := float64(r.report.load.Running+r.report.load.Queued) * r.requestWork(unit) * r.loadCredibility.weight()
		return max(r.pendingWork, reported)
	}
	return r.pendingWork
}

// requestWork returns the mean expected work of the requests that this VM sends to the upstream. The requests of the
// other VMs are assumed to be alike.
func (r *replica) requestWork(unit float64) float64 {
	if r.meanWork == 0 {
		return unit
	}
	return r.meanWork
}

// ownWait returns the time that one more request would wait for a slot because of this VM's attempts, at usual speed.
func (r *replica) ownWait() float64 {
	n := float64(len(r.pending))
	if n < r.slots() {
		return 0
	}
	return r.pendingWork / n * (n - r.slots() + 1) / r.slots()
}

// expectedWait returns the time that one more request would wait for a slot at usual speed.
func (r *replica) expectedWait(now time.Time, work float64) float64 {
	if !r.report.fresh(now) {
		return r.ownWait()
	}
	return max(r.ownWait(), r.report.wait(r.slots())*r.requestWork(work)*r.loadCredibility.weight())
}

// stalledFor returns the age of the oldest attempt that is long overdue, or 0 if there is none. pace is the expected
// duration of an attempt in multiples of its work.
func (r *replica) stalledFor(now time.Time, pace float64) time.Duration {
	for i := range r.pending { // oldest first
		age := now.Sub(r.pending[i].startedAt)
		if age <= minStallAge {
			return 0
		}
		if float64(age) > stallFactor*pace*r.pending[i].work {
			return age
		}
	}
	return 0
}

// Expectation is what the table expects of one more attempt at a replica. Times are multiples of the request's own work.
type Expectation struct {
	Server    string
	Zone      string
	Usable    bool          // may receive the attempt now
	Reason    string        // why it may not
	Share     float64       // share of attempts that it would receive now, from 0 to 1
	Cost      float64       // expected finish with all additions
	Speed     float64       // observed duration of attempts over the expected one
	Slowdown  float64       // reported slowdown as far as it counts; 1 for as usual
	Remaining time.Duration // work before the upstream is free, all slots together
	Stalled   time.Duration // age of an attempt that is long overdue
	Failures  float64       // share of recent attempts that failed, from 0 to 1
	Credible  float64       // weight of the slowdown that the upstream reports, from 0 to 1
	// LoadCredible is the weight of the running and waiting requests that the upstream reports, from 0 to 1.
	LoadCredible float64
	Cold         bool
	Ejected      bool
}

// expect returns what one more attempt with the given work, in nanoseconds, is expected to cost.
func (r *replica) expect(now time.Time, work float64) Expectation {
	left := math.Exp(-float64(max(now.Sub(r.observedAt), 0)) / float64(decayTime))
	e := Expectation{
		Server: r.server.ID, Zone: r.server.Zone, Usable: true,
		Speed:        1 + (r.slowness-1)*left,
		Slowdown:     r.slowdown(now),
		Failures:     r.failureRate * left,
		Credible:     r.slowdownCredibility.weight(),
		LoadCredible: r.loadCredibility.weight(),
		Cold:         now.Before(r.coldUntil),
		Ejected:      now.Before(r.ejectedUntil) || !r.removeAt.IsZero(),
	}
	remaining := r.remainingWork(now, work)
	e.Remaining = time.Duration(remaining)
	e.Cost = e.Speed * e.Slowdown * (1 + remaining/(r.slots()*work))
	if e.Stalled = r.stalledFor(now, e.Speed*e.Slowdown); e.Stalled > 0 {
		e.Cost += float64(e.Stalled) / work
	}
	e.Cost += e.Failures * failureCost
	if e.Ejected {
		e.Cost += failureCost
	}
	if e.Cold {
		e.Cost *= 1.5
	}
	return e
}

// expect returns what one more attempt at the candidate is expected to cost for this VM.
func (st *state) expect(now time.Time, id string, work float64) Expectation {
	r, ok := st.replicas[id]
	if !ok || !st.eligible(now, r, nil) || r.limited(now) {
		return Expectation{Server: id, Cost: unusableCost}
	}
	e := r.expect(now, work)
	if r.server.Zone != st.settings.Zone {
		e.Cost += remoteZoneCost
	}
	if st.unreachable(now, r.server.Zone) {
		e.Cost += unreachableZoneCost
	}
	if r.shedding(now) {
		e.Cost += sheddingCost
	}
	return e
}

// workOf returns the expected work in nanoseconds, or the default if it is not known.
func workOf(work time.Duration) float64 {
	if work <= 0 {
		return float64(defaultWork)
	}
	return float64(max(work, minWork))
}

// drawLimit returns the cost below which candidates are drawn at random, given the lowest cost.
func (st *state) drawLimit(lowest float64) float64 {
	return lowest * (nearEqualRatio + nearEqualSpread*(1-1/math.Sqrt(float64(st.memberCount))))
}

// choose returns the candidate with the lowest cost. Candidates that cost almost as little are drawn too, the more often
// the less they cost, because other VMs that see the same upstreams choose at the same time.
func (st *state) choose(now time.Time, r *rand.Rand, candidates []string, work time.Duration) string {
	if id, ok := st.dueProbe(now, candidates); ok {
		return id
	}
	var buffer [16]float64 // avoids an allocation for the usual number of candidates
	costs := buffer[:0]
	lowest := math.Inf(1)
	for _, id := range candidates {
		cost := st.expect(now, id, workOf(work)).Cost
		costs = append(costs, cost)
		lowest = min(lowest, cost)
	}
	limit := st.drawLimit(lowest)
	total := 0.0
	for _, cost := range costs {
		total += max(limit-cost, 0)
	}
	drawn := r.Float64() * total
	last := 0
	for i, cost := range costs {
		if cost >= limit {
			continue
		}
		last = i
		if drawn -= limit - cost; drawn < 0 {
			break
		}
	}
	return candidates[last]
}

// Explain returns what the table expects of one more attempt with the given work at each replica of the service. It changes
// nothing and starts no attempt. A probe of an unreachable zone, which takes precedence now and then, is left out.
func (t *Table) Explain(now time.Time, service string, regions []string, idempotent bool, work time.Duration) []Expectation {
	return table.WithResult(t.state, func(st *state) []Expectation {
		candidates := st.candidates(now, service, regions, idempotent)
		list := make([]Expectation, 0, len(st.services[service]))
		lowest := math.Inf(1)
		for _, r := range st.services[service] {
			var e Expectation
			if slices.Contains(candidates, r.server.ID) {
				e = st.expect(now, r.server.ID, workOf(work))
				lowest = min(lowest, e.Cost)
			} else {
				e = r.expect(now, workOf(work))
				e.Usable, e.Reason = false, st.exclusion(now, r, regions)
			}
			list = append(list, e)
		}
		limit, total := st.drawLimit(lowest), 0.0
		for _, e := range list {
			if e.Usable {
				total += max(limit-e.Cost, 0)
			}
		}
		for i, e := range list {
			if e.Usable {
				list[i].Share = max(limit-e.Cost, 0) / total
			}
		}
		slices.SortFunc(list, func(a, b Expectation) int {
			return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Server, b.Server))
		})
		return list
	})
}

// exclusion returns why the replica is no candidate.
func (st *state) exclusion(now time.Time, r *replica, regions []string) string {
	switch {
	case r.draining():
		return "draining"
	case r.resting(now):
		return "resting"
	case r.wrongInstance:
		return "address taken over by another instance"
	case st.evacuated[r.server.Zone]:
		return "zone evacuated"
	case !st.eligible(now, r, regions):
		return "outside the regions of the route"
	case r.limited(now):
		return "request limit reached"
	case st.unreachable(now, r.server.Zone):
		return "zone unreachable"
	default:
		return "ejected"
	}
}
