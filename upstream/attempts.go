package upstream

import "time"

// attempt is a started job that has not finished.
type attempt[P any] struct {
	start StartedJob[P]
	conn  *connection
}

// unknown is work that may run without an outcome to wait for: attempts that ended without an
// answer, and the work of an earlier owner VM.
type unknown struct {
	count       int
	until       time.Time
	incarnation string // of the process that runs it, empty if it is not known
}

// total returns how many requests may be running at the upstream.
func (u *server[P]) total(now time.Time) int {
	return len(u.running) + u.unknownRunning(now)
}

func (u *server[P]) unknownRunning(now time.Time) int {
	n := 0
	for _, k := range u.unknown {
		if now.Before(k.until) {
			n += k.count
		}
	}
	return n
}

// unverifiedRunning returns how many of them may run at a process other than the current incarnation.
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

// runningUntil returns the end of the last attempt that may be running, or the zero time.
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

// keep counts work of unknown outcome as running until its end.
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
