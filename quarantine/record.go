package quarantine

import (
	"slices"
	"time"
)

// record is the state of one fingerprint.
type record struct {
	settings         *Settings
	counts           *Counts
	canaries         []canary // in flight, earliest deadline first
	lostReports      int      // canary requests without a report, presumed to have crashed
	lateReports      int      // canary requests that no longer count but may still be reported
	lateReportsUntil time.Time
	crashes          []crash // suspected crashes that have not expired
	goodUntil        time.Time
	refusedUntil     time.Time
	quarantineEnded  time.Time // end of the last quarantine; zero again after CrashWindow and a success
	lastSuccess      time.Time
	heldUntil        time.Time // until then another coordinator's canary request is in flight that allows no further one
}

type canary struct {
	started  time.Time
	deadline time.Time
}

type crash struct {
	at       time.Time
	upstream string
}

// advance updates the record to now. It counts missing reports, ends a quarantine that is over and expires crashes.
func (r *record) advance(now time.Time) {
	for len(r.canaries) > 0 {
		at := r.canaries[0].deadline.Add(reportMargin)
		if at.After(now) {
			break
		}
		r.endQuarantine(at)
		r.canaries = r.canaries[1:]
		r.lostReports++
		r.counts.Lost++
		r.quarantineIfNeeded(at)
	}
	r.endQuarantine(now)
	r.expireCrashes(now)
	if !now.Before(r.heldUntil) {
		r.heldUntil = time.Time{}
	}
	if !now.Before(r.lateReportsUntil) {
		r.lateReports = 0
	}
}

// endQuarantine ends a quarantine that is over and resets the crash count. From then on one crash is enough for the
// next quarantine.
func (r *record) endQuarantine(at time.Time) {
	if r.refusedUntil.IsZero() || at.Before(r.refusedUntil) {
		return
	}
	r.quarantineEnded = r.refusedUntil
	r.refusedUntil = time.Time{}
	r.crashes = nil
	r.expectLateReports(at, r.lostReports)
	r.lostReports = 0
}

// expectLateReports expects n late reports, so that none of them is attributed to a later canary request.
func (r *record) expectLateReports(now time.Time, n int) {
	if n > 0 {
		r.lateReports += n
		r.lateReportsUntil = now.Add(lateReportWindow)
	}
}

// expireCrashes removes the crashes that are older than CrashWindow and were followed by a success. A request that
// crashes only some upstreams succeeds at others, so neither condition is sufficient by itself.
func (r *record) expireCrashes(now time.Time) {
	expired := func(at time.Time) bool {
		return r.lastSuccess.After(at) && !now.Before(at.Add(r.settings.CrashWindow))
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return expired(c.at) })
	if expired(r.quarantineEnded) {
		r.quarantineEnded = time.Time{}
	}
}

// crashThreshold returns the number of crashes that cause a quarantine.
func (r *record) crashThreshold() int {
	if r.quarantineEnded.IsZero() {
		return r.settings.CrashThreshold
	}
	return 1
}

// quarantineIfNeeded quarantines the fingerprint if its crashes, including presumed ones, have reached the threshold.
func (r *record) quarantineIfNeeded(at time.Time) {
	if len(r.crashes)+r.lostReports < r.crashThreshold() {
		return
	}
	duration := r.settings.QuarantineDuration
	if len(r.crashes) < r.crashThreshold() {
		duration = min(duration, lostReportQuarantine)
	}
	if r.refusedUntil.IsZero() {
		r.counts.Quarantines++
	}
	r.refusedUntil = later(r.refusedUntil, at.Add(duration))
	r.goodUntil = earlier(r.goodUntil, at)
}

func (r *record) decide(now, deadline time.Time) Decision {
	if d := r.currentDecision(now); d.Verdict != Wait {
		return d
	}
	deadline = earlier(deadline, now.Add(maxCanaryDuration))
	n := len(r.canaries)
	switch {
	case !deadline.After(now):
		return Decision{Wait, now}
	case now.Before(r.heldUntil):
		return Decision{Wait, r.heldUntil}
	case r.exhausted():
		return Decision{Wait, r.canaries[0].deadline.Add(reportMargin)}
	case n > 0 && now.Before(r.lastStart().Add(secondCanaryDelay)):
		return Decision{Wait, r.lastStart().Add(secondCanaryDelay)}
	}
	r.canaries = append(r.canaries, canary{now, deadline})
	slices.SortFunc(r.canaries, func(a, b canary) int { return a.deadline.Compare(b.deadline) })
	return Decision{Canary, deadline}
}

// exhausted reports whether the canary requests in flight allow no further one, because the fingerprint is quarantined if
// all of them crash.
func (r *record) exhausted() bool {
	n := len(r.canaries)
	return n > 0 && n+r.lostReports+len(r.crashes) >= r.crashThreshold()
}

// lastStart returns the latest start of a canary request in flight. There must be one.
func (r *record) lastStart() time.Time {
	last := r.canaries[0].started
	for _, c := range r.canaries {
		last = later(last, c.started)
	}
	return last
}

// currentDecision returns the decision that is possible without a new canary request. Wait means that the coordinator
// must decide.
func (r *record) currentDecision(now time.Time) Decision {
	switch {
	case now.Before(r.refusedUntil):
		return Decision{Refused, r.refusedUntil}
	case now.Before(r.goodUntil):
		return Decision{Good, r.goodUntil}
	default:
		return Decision{Wait, now}
	}
}

// recordSuccess marks the fingerprint as good unless it is quarantined for confirmed crashes. Canary requests that are
// still in flight continue as ordinary runs.
func (r *record) recordSuccess(now time.Time) {
	refused := now.Before(r.refusedUntil)
	canaries := len(r.canaries) + r.lostReports
	switch {
	case refused && (r.lostReports == 0 || len(r.crashes) >= r.crashThreshold()):
		r.releaseCanary()
		return
	case canaries == 0 && len(r.crashes) > 0:
		return
	}
	r.releaseCanary()
	r.markGood(now, now.Add(r.settings.GoodTTL))
}

// markGood marks the fingerprint as known good and lifts its quarantine. Its canary requests no longer count, but may
// still be reported.
func (r *record) markGood(now, until time.Time) {
	r.expectLateReports(now, len(r.canaries)+r.lostReports)
	r.canaries = nil
	r.lostReports = 0
	r.refusedUntil = time.Time{}
	r.heldUntil = time.Time{}
	r.lastSuccess = now
	r.goodUntil = until
}

// recordNotRun releases a canary request, and lifts a quarantine that was based on its missing report.
func (r *record) recordNotRun(now time.Time) {
	if r.lateReports > 0 {
		r.lateReports--
		return
	}
	lost := r.lostReports
	if len(r.canaries)+lost == 0 {
		r.heldUntil = time.Time{}
	}
	r.releaseCanary()
	if r.lostReports < lost && now.Before(r.refusedUntil) && len(r.crashes)+r.lostReports < r.crashThreshold() {
		r.refusedUntil = time.Time{}
	}
}

// recordCrash counts a suspected crash. Reports do not say whether the run was a canary request. While ordinary runs
// may be in flight, the crash is attributed to one of them and no canary request is released, so that a wrong
// attribution causes an early quarantine rather than an additional crash. Ordinary runs that fail at the same upstream
// at about the same time count as a single crash.
func (r *record) recordCrash(now time.Time, upstream string) {
	if now.Before(r.goodUntil.Add(ordinaryRunTimeout)) {
		r.goodUntil = earlier(r.goodUntil, now)
		if r.sameRestart(now, upstream) {
			return
		}
	} else {
		r.releaseCanary()
	}
	r.counts.Crashes++
	r.crashes = append(r.crashes, crash{now, upstream})
	r.crashes = r.crashes[max(0, len(r.crashes)-r.settings.CrashThreshold):]
	r.quarantineIfNeeded(now)
}

// sameRestart reports whether a crash of the upstream was counted so recently that a new report must be about the same
// restart.
func (r *record) sameRestart(now time.Time, upstream string) bool {
	return upstream != "" && slices.ContainsFunc(r.crashes, func(c crash) bool {
		return c.upstream == upstream && now.Before(c.at.Add(ordinaryRunTimeout))
	})
}

// releaseCanary removes one canary request: one in flight if there is any, otherwise one presumed to have crashed.
func (r *record) releaseCanary() {
	switch {
	case len(r.canaries) > 0:
		r.canaries = r.canaries[1:]
	case r.lostReports > 0:
		r.lostReports--
	}
}

// applyDecision stores a decision of the coordinator. It ignores the verdict Good if crashes are known locally, because
// a coordinator on the other side of a partition may not know of them.
func (r *record) applyDecision(now time.Time, d Decision) {
	switch {
	case d.Verdict == Refused:
		until := earlier(d.Until, now.Add(r.settings.QuarantineDuration))
		r.refusedUntil = later(r.refusedUntil, until)
		r.goodUntil = earlier(r.goodUntil, now)
	case d.Verdict != Good:
		r.goodUntil = earlier(r.goodUntil, now)
	case len(r.crashes) == 0 && r.lostReports == 0:
		r.markGood(now, earlier(d.Until, now.Add(r.settings.GoodTTL)))
	}
}

// evictable reports whether the record holds nothing but a possible verdict Good.
func (r *record) evictable() bool {
	return len(r.canaries)+r.lostReports+r.lateReports+len(r.crashes) == 0 && r.refusedUntil.IsZero() && r.heldUntil.IsZero() && r.quarantineEnded.IsZero()
}

// expired reports whether the record may be evicted if all remaining records have suspected crashes.
func (r *record) expired(now time.Time) bool {
	if len(r.canaries) > 0 || now.Before(r.refusedUntil) {
		return false
	}
	last := r.quarantineEnded
	for _, c := range r.crashes {
		last = later(last, c.at)
	}
	return !now.Before(last.Add(r.settings.CrashWindow))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
