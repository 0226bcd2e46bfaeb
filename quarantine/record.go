package quarantine

import (
	"slices"
	"time"
)

// record is the state of one fingerprint.
type record struct {
	rules        *Settings
	counts       *Counts
	canaries     []canary // in flight, earliest deadline first
	lost         int      // canary requests without a report, presumed to have crashed
	strays       int      // canary requests that no longer count but may still be reported
	straysUntil  time.Time
	crashes      []crash // suspected crashes that have not expired
	goodUntil    time.Time
	refusedUntil time.Time
	probation    time.Time // end of the last quarantine; zero again after CrashWindow and a success
	succeeded    time.Time
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
func (r *record) settle(now time.Time) {
	for len(r.canaries) > 0 {
		at := r.canaries[0].deadline.Add(reportMargin)
		if at.After(now) {
			break
		}
		r.endQuarantine(at)
		r.canaries = r.canaries[1:]
		r.lost++
		r.counts.Lost++
		r.judge(at)
	}
	r.endQuarantine(now)
	r.forgive(now)
	if !now.Before(r.straysUntil) {
		r.strays = 0
	}
}

// endQuarantine ends a quarantine that is over and resets the crash count. From then on one crash is enough for the
// next quarantine.
func (r *record) endQuarantine(at time.Time) {
	if r.refusedUntil.IsZero() || at.Before(r.refusedUntil) {
		return
	}
	r.probation = r.refusedUntil
	r.refusedUntil = time.Time{}
	r.crashes = nil
	r.stray(at, r.lost)
	r.lost = 0
}

// expectLateReports expects n late reports, so that none of them is attributed to a later canary request.
func (r *record) stray(now time.Time, n int) {
	if n > 0 {
		r.strays += n
		r.straysUntil = now.Add(lateReport)
	}
}

// expireCrashes removes the crashes that are older than CrashWindow and were followed by a success. A request that
// crashes only some upstreams succeeds at others, so neither condition is sufficient by itself.
func (r *record) forgive(now time.Time) {
	forgiven := func(at time.Time) bool {
		return r.succeeded.After(at) && !now.Before(at.Add(r.rules.CrashWindow))
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return forgiven(c.at) })
	if forgiven(r.probation) {
		r.probation = time.Time{}
	}
}

func (r *record) allowance() int {
	if r.probation.IsZero() {
		return r.rules.CrashThreshold
	}
	return 1
}

// quarantineIfNeeded quarantines the fingerprint if its crashes, including presumed ones, have reached the threshold.
func (r *record) judge(at time.Time) {
	if len(r.crashes)+r.lost < r.allowance() {
		return
	}
	hold := r.rules.QuarantineDuration
	if len(r.crashes) < r.allowance() {
		hold = min(hold, lostRefuse)
	}
	if r.refusedUntil.IsZero() {
		r.counts.Quarantines++
	}
	r.refusedUntil = later(r.refusedUntil, at.Add(hold))
	r.goodUntil = earlier(r.goodUntil, at)
}

func (r *record) ask(now, deadline time.Time) Decision {
	if known := r.known(now); known.Verdict != Wait {
		return known
	}
	deadline = earlier(deadline, now.Add(longestCanary))
	n := len(r.canaries)
	switch {
	case !deadline.After(now):
		return Decision{Wait, now}
	case n > 0 && n+r.lost+len(r.crashes) >= r.allowance():
		return Decision{Wait, r.canaries[0].deadline.Add(reportMargin)}
	case n > 0 && now.Before(r.lastStart().Add(secondCanaryAfter)):
		return Decision{Wait, r.lastStart().Add(secondCanaryAfter)}
	}
	r.canaries = append(r.canaries, canary{now, deadline})
	slices.SortFunc(r.canaries, func(a, b canary) int { return a.deadline.Compare(b.deadline) })
	return Decision{Canary, deadline}
}

func (r *record) lastStart() time.Time {
	last := r.canaries[0].started
	for _, c := range r.canaries {
		last = later(last, c.started)
	}
	return last
}

// current returns the decision that is possible without a new canary request. Wait means that the coordinator must
// decide.
func (r *record) known(now time.Time) Decision {
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
func (r *record) success(now time.Time) {
	refused := now.Before(r.refusedUntil)
	canaries := len(r.canaries) + r.lost
	switch {
	case refused && (r.lost == 0 || len(r.crashes) >= r.allowance()):
		r.release()
		return
	case canaries == 0 && len(r.crashes) > 0:
		return
	}
	r.release()
	r.trust(now, now.Add(r.rules.GoodTTL))
}

func (r *record) trust(now, until time.Time) {
	r.stray(now, len(r.canaries)+r.lost)
	r.canaries = nil
	r.lost = 0
	r.refusedUntil = time.Time{}
	r.succeeded = now
	r.goodUntil = until
}

// recordNotRun releases a canary request, and lifts a quarantine that was based on its missing report.
func (r *record) notRun(now time.Time) {
	if r.strays > 0 {
		r.strays--
		return
	}
	lost := r.lost
	r.release()
	if r.lost < lost && now.Before(r.refusedUntil) && len(r.crashes)+r.lost < r.allowance() {
		r.refusedUntil = time.Time{}
	}
}

// recordCrash counts a suspected crash. Reports do not say whether the run was a canary request. While ordinary runs
// may be in flight, the crash is attributed to one of them and no canary request is released, so that a wrong
// attribution causes an early quarantine rather than an additional crash. Ordinary runs that fail at the same upstream
// at about the same time count as a single crash.
func (r *record) crash(now time.Time, upstream string) {
	if now.Before(r.goodUntil.Add(ordinaryTail)) {
		r.goodUntil = earlier(r.goodUntil, now)
		if r.sawRestart(now, upstream) {
			return
		}
	} else {
		r.release()
	}
	r.counts.Crashes++
	r.crashes = append(r.crashes, crash{now, upstream})
	r.crashes = r.crashes[max(0, len(r.crashes)-r.rules.CrashThreshold):]
	r.judge(now)
}

func (r *record) sawRestart(now time.Time, upstream string) bool {
	return upstream != "" && slices.ContainsFunc(r.crashes, func(c crash) bool {
		return c.upstream == upstream && now.Before(c.at.Add(ordinaryTail))
	})
}

// releaseCanary removes one canary request: one in flight if there is any, otherwise one presumed to have crashed.
func (r *record) release() {
	switch {
	case len(r.canaries) > 0:
		r.canaries = r.canaries[1:]
	case r.lost > 0:
		r.lost--
	}
}

// apply stores a decision of the coordinator. It ignores the verdict Good if crashes are known locally, because a
// coordinator on the other side of a partition may not know of them.
func (r *record) learn(now time.Time, a Decision) {
	switch {
	case a.Verdict == Refused:
		until := earlier(a.Until, now.Add(r.rules.QuarantineDuration))
		r.refusedUntil = later(r.refusedUntil, until)
		r.goodUntil = earlier(r.goodUntil, now)
	case a.Verdict != Good:
		r.goodUntil = earlier(r.goodUntil, now)
	case len(r.crashes) == 0 && r.lost == 0:
		r.trust(now, earlier(a.Until, now.Add(r.rules.GoodTTL)))
	}
}

// evictable reports whether the record holds nothing but a possible verdict Good.
func (r *record) forgettable() bool {
	return len(r.canaries)+r.lost+r.strays+len(r.crashes) == 0 && r.refusedUntil.IsZero() && r.probation.IsZero()
}

// expired reports whether the record may be evicted if all remaining records have suspected crashes.
func (r *record) stale(now time.Time) bool {
	if len(r.canaries) > 0 || now.Before(r.refusedUntil) {
		return false
	}
	last := r.probation
	for _, c := range r.crashes {
		last = later(last, c.at)
	}
	return !now.Before(last.Add(r.rules.CrashWindow))
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
