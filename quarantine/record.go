package quarantine

import (
	"slices"
	"time"
)

// record is what is known of one fingerprint.
type record struct {
	rules        *Settings
	counts       *Counts
	canaries     []canary // under way, earliest deadline first
	lost         int      // canary requests without a report, presumed to have crashed
	strays       int      // canary requests that no longer count and whose report may still come
	straysUntil  time.Time
	crashes      []crash // suspected crashes that still count
	goodUntil    time.Time
	refusedUntil time.Time
	probation    time.Time // end of the last quarantine, zero once a success and the window followed
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

// settle brings the record to now: it counts lost reports, ends a quarantine and forgives crashes.
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

// endQuarantine starts the count over, with one crash allowed.
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

// stray expects n late reports, so that none of them is taken for a later canary request's.
func (r *record) stray(now time.Time, n int) {
	if n > 0 {
		r.strays += n
		r.straysUntil = now.Add(lateReport)
	}
}

// forgive drops the crashes that lie beyond the window and were followed by a success. A request
// that crashes only some upstreams succeeds at others, so neither condition suffices alone.
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

// judge quarantines the fingerprint if its crashes, presumed ones included, use up the allowance.
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

// known returns what can be said without a new canary request; Wait means to ask.
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

// success makes the fingerprint good unless confirmed crashes quarantined it. Canary requests that
// are still under way go on as ordinary runs.
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

// notRun gives a canary request back, and lifts a quarantine that rested on its missing report.
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

// crash counts a suspected crash. Reports do not say whether the run was a canary request. While
// ordinary runs may be under way the crash is taken for one of theirs and no canary request is given
// back, so that a wrong guess quarantines early and never allows one crash more. Ordinary runs that
// end together at one upstream saw a single restart.
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

// release ends one canary request, first of those under way, then of those presumed to have crashed.
func (r *record) release() {
	switch {
	case len(r.canaries) > 0:
		r.canaries = r.canaries[1:]
	case r.lost > 0:
		r.lost--
	}
}

// learn takes what the coordinator tells. Crashes known here weigh more than its good opinion,
// which a coordinator on the other side of a partition may hold.
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

// forgettable reports whether nothing would be lost with the record but a good opinion.
func (r *record) forgettable() bool {
	return len(r.canaries)+r.lost+r.strays+len(r.crashes) == 0 && r.refusedUntil.IsZero() && r.probation.IsZero()
}

// stale reports whether the record may go when only records that count crashes are left.
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
