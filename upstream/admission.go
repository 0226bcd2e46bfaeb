package upstream

import (
	"time"

	"pistachioshore.dev/result"
)

// enqueue admits a job to the queue of the named upstream and starts what may run, or refuses it.
func (s *state[P]) enqueue(now time.Time, name string, j Job[P], actions *Actions[P]) {
	if _, known := s.jobs[j.Key]; known {
		return
	}
	u := s.servers[name]
	if code := s.admit(now, u, j, actions); code != 0 {
		actions.Refuse = append(actions.Refuse, RefusedJob[P]{Job: j, Code: code})
		return
	}
	s.push(u, j)
	s.releaseJobs(now, u, actions)
}

// admit returns the code with which a job is refused immediately, or zero if it may be queued. If the
// queue is full, it evicts a less urgent job.
func (s *state[P]) admit(now time.Time, u *server[P], j Job[P], actions *Actions[P]) result.Code {
	switch {
	case !now.Before(j.Deadline):
		return result.DeadlineExpired
	case u == nil || !u.owned:
		return result.OwnerMoved
	case u.spec.refusalCode != 0:
		return u.spec.refusalCode
	}
	s.releaseJobs(now, u, actions) // slots may have become free by time alone since the last call
	if u.unreachable(now) {
		return result.Unreachable
	}
	if estimatedWait := u.estimatedWait(now, j); estimatedWait > 0 && estimatedWait+u.serviceTime.mean > j.Deadline.Sub(now) {
		return result.Overloaded
	}
	return s.makeRoom(u, j, actions)
}

// makeRoom returns zero if the queue has room for the job. If the queue is full, it evicts the least
// urgent queued job, or returns Overloaded if that one's class is no less urgent than the new job's.
func (s *state[P]) makeRoom(u *server[P], j Job[P], actions *Actions[P]) result.Code {
	if u.queue.Len() < s.cfg.Limits.QueueLength {
		return 0
	}
	leastUrgent := u.leastUrgent()
	if leastUrgent == nil || leastUrgent.Class <= int(j.Class) {
		return result.Overloaded
	}
	s.refuse(u, leastUrgent, result.Overloaded, actions)
	return 0
}

// estimatedWait estimates how long a job would wait in the queue.
func (u *server[P]) estimatedWait(now time.Time, j Job[P]) time.Duration {
	ahead := u.queue.CountAhead(int(j.Class), j.Deadline)
	usableSlots := u.usableSlots(now)
	if usableSlots <= 0 {
		return u.timeToFreeSlot(now) + u.serviceTime.mean*time.Duration(ahead)
	}
	free := usableSlots - len(u.running)
	if ahead < free {
		return 0
	}
	return u.serviceTime.mean * time.Duration(ahead-free+1) / time.Duration(usableSlots)
}

// usableSlots returns the number of slots for jobs, including those in use. Unverified connections add
// at most the cold-start limit, and work of unknown outcome occupies slots until its end.
func (u *server[P]) usableSlots(now time.Time) int {
	slots := min(u.limit(), u.spec.coldLimit+u.verifiedConns(), u.spec.maxConnections)
	return slots - u.unknownRunning(now)
}

// timeToFreeSlot returns the time until the earliest work of unknown outcome ends and frees a slot.
func (u *server[P]) timeToFreeSlot(now time.Time) time.Duration {
	var earliest time.Time
	for _, w := range u.unknownWork {
		if now.Before(w.until) && (earliest.IsZero() || w.until.Before(earliest)) {
			earliest = w.until
		}
	}
	return max(0, earliest.Sub(now))
}

// serviceTimeDivisor is the reciprocal of a new sample's weight in the moving average of the service
// time. With a weight of 1/8 a lasting change shows within about ten answers, and a single straggler
// does not dominate.
const serviceTimeDivisor = 8

// movingAverage is an exponential moving average of durations, zero before the first sample.
type movingAverage struct {
	mean time.Duration
}

func (a *movingAverage) add(d time.Duration) {
	if a.mean == 0 {
		a.mean = d
		return
	}
	a.mean += (d - a.mean) / serviceTimeDivisor
}
