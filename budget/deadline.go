package budget

import "time"

// CapDeadline returns the deadline of a request whose caller wants to wait for want, 0 for no wish, on a
// route that allows at most longest.
func CapDeadline(now time.Time, want, longest time.Duration) time.Time {
	if want > 0 {
		longest = min(longest, want)
	}
	return now.Add(longest)
}

// HopDeadline returns the deadline for the next hop, which keeps hop for the way back. It is never before
// now; a deadline equal to now leaves no time and the request is refused as not run.
func HopDeadline(now, deadline time.Time, hop time.Duration) time.Time {
	next := deadline.Add(-hop)
	if next.Before(now) {
		return now
	}
	return next
}

// AttemptDeadline returns the deadline of an attempt that starts now: at most LongestAttempt away.
func AttemptDeadline(now, deadline time.Time) time.Time {
	last := now.Add(MaxAttemptDuration)
	if deadline.Before(last) {
		return deadline
	}
	return last
}

// FitsDeadline reports whether an attempt of the typical time can still end by the deadline.
func FitsDeadline(now, deadline time.Time, typical time.Duration) bool {
	return !now.Add(typical).After(deadline)
}
