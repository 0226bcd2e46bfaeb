package upstream

import "time"

// attempt is a started job that has not finished.
type attempt[P any] struct {
	started StartedJob[P]
	conn    *connection
}

// unknownWork is work that may still run at the upstream although no outcome will arrive for it:
// attempts that ended without an answer, and the work of an earlier owner VM.
type unknownWork struct {
	count       int
	until       time.Time
	incarnation string // incarnation of the process that runs it, empty if unknown
}

// runningTotal returns the number of requests that may be running at the upstream.
func (u *server[P]) runningTotal(now time.Time) int {
	return len(u.running) + u.unknownRunning(now)
}

// unknownRunning returns the amount of work of unknown outcome that may still be running.
func (u *server[P]) unknownRunning(now time.Time) int {
	n := 0
	for _, w := range u.unknownWork {
		if now.Before(w.until) {
			n += w.count
		}
	}
	return n
}

// unverifiedRunning returns how many of the requests that may be running are possibly at a process
// other than the current incarnation.
func (u *server[P]) unverifiedRunning(now time.Time) int {
	n := 0
	for _, a := range u.running {
		if !u.isVerified(a.conn) {
			n++
		}
	}
	for _, w := range u.unknownWork {
		if now.Before(w.until) && (w.incarnation == "" || w.incarnation != u.incarnation) {
			n += w.count
		}
	}
	return n
}

// runningUntil returns the time by which all attempts that may be running have ended, or the zero time
// if there are none.
func (u *server[P]) runningUntil(now time.Time, margin time.Duration) time.Time {
	var latest time.Time
	for _, a := range u.running {
		latest = later(latest, a.started.Job.Deadline.Add(margin))
	}
	for _, w := range u.unknownWork {
		if now.Before(w.until) {
			latest = later(latest, w.until)
		}
	}
	return latest
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// addUnknownWork adds work of unknown outcome, which counts as running until its end.
func (u *server[P]) addUnknownWork(now time.Time, w unknownWork) {
	if w.count > 0 && now.Before(w.until) {
		u.unknownWork = append(u.unknownWork, w)
	}
}

// expireUnknownWork removes work of unknown outcome that has ended.
func (u *server[P]) expireUnknownWork(now time.Time) {
	kept := u.unknownWork[:0]
	for _, w := range u.unknownWork {
		if now.Before(w.until) {
			kept = append(kept, w)
		}
	}
	u.unknownWork = kept
}
