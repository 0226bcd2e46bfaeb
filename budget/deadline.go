package budget

import "time"

// CapDeadline returns the deadline of a request that starts now. The caller is willing to wait for want, or has no
// preference if want is 0, and the route allows at most longest.
func CapDeadline(now time.Time, want, longest time.Duration) time.Time {
	if want > 0 {
		longest = min(longest, want)
	}
	return now.Add(longest)
}

// HopDeadline returns the deadline for the next hop, which is earlier by margin to leave time for the response. It is
// never before now. A deadline equal to now leaves no time, and the request is refused as not run.
func HopDeadline(now, deadline time.Time, margin time.Duration) time.Time {
	next := deadline.Add(-margin)
	if next.Before(now) {
		return now
	}
	return next
}

// AttemptDeadline returns the deadline of an attempt that starts now, at most MaxAttemptDuration from now.
func AttemptDeadline(now, deadline time.Time) time.Time {
	last := now.Add(MaxAttemptDuration)
	if deadline.Before(last) {
		return deadline
	}
	return last
}

// FitsDeadline reports whether an attempt of typical duration can complete by the deadline.
func FitsDeadline(now, deadline time.Time, typical time.Duration) bool {
	return !now.Add(typical).After(deadline)
}
