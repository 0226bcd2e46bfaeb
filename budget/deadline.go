package budget

import "time"

// Cap returns the deadline of a request whose caller wants to wait for want, 0 for no wish, on a
// route that allows at most longest.
func Cap(now time.Time, want, longest time.Duration) time.Time {
	if want > 0 {
		longest = min(longest, want)
	}
	return now.Add(longest)
}

// Split returns the deadline for the next hop, which keeps hop for the way back. It is never before
// now; a deadline equal to now leaves no time and the request is refused as not run.
func Split(now, deadline time.Time, hop time.Duration) time.Time {
	next := deadline.Add(-hop)
	if next.Before(now) {
		return now
	}
	return next
}

// Attempt returns the deadline of an attempt that starts now: at most LongestAttempt away.
func Attempt(now, deadline time.Time) time.Time {
	last := now.Add(LongestAttempt)
	if deadline.Before(last) {
		return deadline
	}
	return last
}

// Enough reports whether an attempt of the typical time can still end by the deadline.
func Enough(now, deadline time.Time, typical time.Duration) bool {
	return !now.Add(typical).After(deadline)
}
