package upstream

import "time"

// attempt is a started job that has not finished.
type attempt[P any] struct {
	start StartedJob[P]
	conn  *connection
}

// unknown is work that may still run at the upstream although no outcome will arrive for it: attempts
// that ended without an answer, and the work of an earlier owner VM.
type unknown struct {
	count       int
	until       time.Time
	incarnation string // incarnation of the process that runs it, empty if unknown
}

// total returns the number of requests that may be running at the upstream.
func (u *server[P]) total(now time.Time) int {
	return len(u.running) + u.unknownRunning(now)
}

// unknownRunning returns the amount of work of unknown outcome that may still be running.
func (u *server[P]) unknownRunning(now time.Time) int {
	n := 0
	for _, k := range u.unknown {
		if now.Before(k.until) {
			n += k.count
		}
	}
	return n
}

// unverifiedRunning returns how many of the requests that may be running are possibly at a process
// other than the current incarnation.
func (u *server[P]) unverifiedRunning(now time.Time) int {
	n := 0
	for _, a := range u.running {
		if !u.verified(a.conn) {
			n++
		}
	}
	for _, k := range u.unknown {
		if now.Before(k.until) && (k.incarnation == "" || k.incarnation != u.incarnation) {
			n += k.count
		}
	}
	return n
}

// runningUntil returns the time by which all attempts that may be running have ended, or the zero time
// if there are none.
func (u *server[P]) runningUntil(now time.Time, margin time.Duration) time.Time {
	var last time.Time
	for _, a := range u.running {
		last = later(last, a.start.Job.Deadline.Add(margin))
	}
	for _, k := range u.unknown {
		if now.Before(k.until) {
			last = later(last, k.until)
		}
	}
	return last
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// keep adds work of unknown outcome, which counts as running until its end.
func (u *server[P]) keep(now time.Time, k unknown) {
	if k.count > 0 && now.Before(k.until) {
		u.unknown = append(u.unknown, k)
	}
}

// endUnknown removes work of unknown outcome that has ended.
func (u *server[P]) endUnknown(now time.Time) {
	kept := u.unknown[:0]
	for _, k := range u.unknown {
		if now.Before(k.until) {
			kept = append(kept, k)
		}
	}
	u.unknown = kept
}
