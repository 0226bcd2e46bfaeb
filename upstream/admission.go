package upstream

import (
	"time"

	"pistachioshore.dev/result"
)

// enqueue admits a job to the queue of the named upstream and starts what may run, or refuses it.
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

// admit returns the code with which a job is refused immediately, or zero if it may be queued. If the
// queue is full, it evicts a less urgent job.
func (s *state[P]) admit(now time.Time, u *server[P], j Job[P], step *Actions[P]) result.Code {
	switch {
	case !now.Before(j.Deadline):
		return result.DeadlineExpired
	case u == nil || !u.owned:
		return result.OwnerMoved
	case u.spec.barred != 0:
		return u.spec.barred
	}
	s.release(now, u, step) // slots may have become free by time alone since the last call
	if u.unreachable(now) {
		return result.Unreachable
	}
	if wait := u.wait(now, j); wait > 0 && wait+u.service.mean > j.Deadline.Sub(now) {
		return result.Overloaded
	}
	return s.makeRoom(u, j, step)
}

// makeRoom returns zero if the queue has room for the job. If the queue is full, it evicts the least
// urgent queued job, or returns Overloaded if that one's class is no less urgent than the new job's.
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

// wait estimates how long a job would wait in the queue.
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

// usable returns the number of slots for jobs, used ones included. Unverified connections add at most
// the cold-start limit, and work of unknown outcome occupies slots until its end.
func (u *server[P]) usable(now time.Time) int {
	slots := min(u.limit(), u.spec.cold+u.verifiedConns(), u.spec.connections)
	return slots - u.unknownRunning(now)
}

// untilUsable returns the time until the first of the work of unknown outcome ends.
func (u *server[P]) untilUsable(now time.Time) time.Duration {
	var first time.Time
	for _, k := range u.unknown {
		if now.Before(k.until) && (first.IsZero() || k.until.Before(first)) {
			first = k.until
		}
	}
	return max(0, first.Sub(now))
}

// serviceWeight is the divisor of a new sample in the moving average of the service time. With a
// weight of 1/8 a lasting change shows within about ten answers, and a single straggler does not
// dominate.
const serviceWeight = 8

// average is an exponential moving average of durations, zero before the first sample.
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
