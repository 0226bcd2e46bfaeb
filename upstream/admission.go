package upstream

import (
	"time"

	"pistachioshore.dev/result"
)

func (s *state[P]) enqueue(now time.Time, name string, j Job[P], step *Actions[P]) {
	if _, known := s.jobs[j.Key]; known {
		return
	}
	u := s.servers[name]
	if code := s.admit(now, u, j, step); code != 0 {
		step.Refuse = append(step.Refuse, RefusedJob[P]{Job: j, Code: code})
		return
	}
	s.push(u, j)
	s.release(now, u, step)
}

// admit returns why a job is refused at once, or zero; it displaces a less urgent job from a full queue.
func (s *state[P]) admit(now time.Time, u *server[P], j Job[P], step *Actions[P]) result.Code {
	switch {
	case !now.Before(j.Deadline):
		return result.DeadlineExpired
	case u == nil || !u.owned:
		return result.OwnerMoved
	case u.spec.barred != 0:
		return u.spec.barred
	}
	s.release(now, u, step) // time alone may have freed slots since the last call
	if u.unreachable(now) {
		return result.Unreachable
	}
	if wait := u.wait(now, j); wait > 0 && wait+u.service.mean > j.Deadline.Sub(now) {
		return result.Overloaded
	}
	return s.makeRoom(u, j, step)
}

func (s *state[P]) makeRoom(u *server[P], j Job[P], step *Actions[P]) result.Code {
	if u.queue.Len() < s.cfg.Limits.QueueLength {
		return 0
	}
	last := u.last()
	if last == nil || last.Class <= int(j.Class) {
		return result.Overloaded
	}
	s.refuse(u, last, result.Overloaded, step)
	return 0
}

// wait estimates how long a job would be queued.
func (u *server[P]) wait(now time.Time, j Job[P]) time.Duration {
	ahead := u.queue.CountAhead(int(j.Class), j.Deadline)
	usable := u.usable(now)
	if usable <= 0 {
		return u.untilUsable(now) + u.service.mean*time.Duration(ahead)
	}
	free := usable - len(u.running)
	if ahead < free {
		return 0
	}
	return u.service.mean * time.Duration(ahead-free+1) / time.Duration(usable)
}

// usable returns the slots that jobs can get now; connections that are not verified yet give at
// most the cold-start limit, and work of unknown outcome holds slots until its end.
func (u *server[P]) usable(now time.Time) int {
	slots := min(u.limit(), u.spec.cold+u.verifiedConns(), u.spec.connections)
	return slots - u.unknownRunning(now)
}

// untilUsable returns the time until the first work of unknown outcome ends.
func (u *server[P]) untilUsable(now time.Time) time.Duration {
	var first time.Time
	for _, k := range u.unknown {
		if now.Before(k.until) && (first.IsZero() || k.until.Before(first)) {
			first = k.until
		}
	}
	return max(0, first.Sub(now))
}

// serviceWeight is the share of one new sample in the moving average of the service time; with
// 1/8 a lasting change shows within some ten answers and one straggler does not dominate.
const serviceWeight = 8

// average is a moving average of durations, zero before the first sample.
type average struct {
	mean time.Duration
}

func (a *average) add(d time.Duration) {
	if a.mean == 0 {
		a.mean = d
		return
	}
	a.mean += (d - a.mean) / serviceWeight
}
