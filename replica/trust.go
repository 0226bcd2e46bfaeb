package replica

import (
	"time"

	"pistachioshore.dev/table"
)

// ReportCounts counts the load reports that attempts could be compared with.
type ReportCounts struct {
	Confirmed    uint64 // the attempt took about as long as the report said
	Contradicted uint64 // the attempt took about as long as without the report
	Ignored      uint64 // reports of upstreams whose reports have no weight
}

// ReportCounts returns the counts since the start of the process.
func (t *Table) ReportCounts() ReportCounts {
	return table.WithResult(t.state, func(st *state) ReportCounts { return st.reports })
}

// compareReports compares the time of an attempt with what the reports before and after it claim. Only what both claim
// is held against an upstream, because its load changes while the attempt runs.
func (r *replica) compareReports(now time.Time, p pendingAttempt, elapsed time.Duration, n *ReportCounts) {
	if r.slowdownCredibility.weight() == 0 || r.loadCredibility.weight() == 0 {
		n.Ignored++
	}
	if p.report.at.IsZero() || now.Sub(p.report.at) > maxClaimAge {
		return
	}
	before, after := p.report.claimedSlowdown(), r.report.claimedSlowdown()
	own := p.work + p.ownWait
	slower := min(max(r.decayed(now, r.slowness, 1), 1), maxClaimSpeed)
	faster := min(max(r.decayed(now, r.slowness, 1), minClaimSpeed), 1)
	switch {
	case before > 1 && after > 1:
		r.slowdownCredibility.compare(float64(elapsed), slower*own, slower*own*min(before, after), n)
	case before < 1 && after < 1:
		r.slowdownCredibility.compare(float64(elapsed), faster*own, faster*own*max(before, after), n)
	}
	wait := min(p.report.wait(r.slots()), r.report.wait(r.slots())) * r.requestWork(p.work)
	slower *= p.slowdown
	r.loadCredibility.compare(float64(elapsed), slower*own, slower*(p.work+max(wait, p.ownWait)), n)
}

// compare records which of two durations an attempt was nearer to, as a ratio: the one that was claimed or the one without
// the claim. If they differ little, the attempt tells nothing.
func (c *credibility) compare(elapsed, plain, claimed float64, n *ReportCounts) {
	if claimed < plain*claimRatio && plain < claimed*claimRatio {
		return
	}
	supported := 0.0
	if (elapsed*elapsed >= claimed*plain) == (claimed > plain) {
		supported = 1
		n.Confirmed++
	} else {
		n.Contradicted++
	}
	c.agreement = c.agreement*(1-agreementWeight) + supported*agreementWeight
}
