package upstream

import (
	"cmp"
	"time"

	"pistachioshore.dev/result"
	"pistachioshore.dev/table"
)

// push queues a job.
func (s *state[P]) push(u *server[P], j Job[P]) {
	u.queuedByKey[j.Key] = u.queue.Push(int(j.Class), j.Deadline, j)
	s.jobs[j.Key] = u
}

// dequeue removes a job from the queue and returns it.
func (s *state[P]) dequeue(u *server[P], e *table.Entry[Job[P]]) Job[P] {
	u.queue.Remove(e)
	delete(u.queuedByKey, e.Item.Key)
	delete(s.jobs, e.Item.Key)
	return e.Item
}

// refuse removes a job from the queue and refuses it.
func (s *state[P]) refuse(u *server[P], e *table.Entry[Job[P]], code result.Code, actions *Actions[P]) {
	actions.Refuse = append(actions.Refuse, RefusedJob[P]{Job: s.dequeue(u, e), Code: code})
}

// refuseEach refuses jobs that Queue.RemoveFunc has returned.
func (s *state[P]) refuseEach(u *server[P], entries []*table.Entry[Job[P]], code result.Code, actions *Actions[P]) {
	for _, e := range entries {
		s.refuse(u, e, code, actions)
	}
}

// refuseAll refuses all queued jobs, most urgent first.
func (s *state[P]) refuseAll(u *server[P], code result.Code, actions *Actions[P]) {
	all := func(*table.Entry[Job[P]]) bool { return true }
	s.refuseEach(u, u.queue.RemoveFunc(all), code, actions)
}

// refuseExpired refuses the queued jobs whose deadline has passed.
func (s *state[P]) refuseExpired(now time.Time, u *server[P], actions *Actions[P]) {
	expired := func(e *table.Entry[Job[P]]) bool { return !now.Before(e.Deadline) }
	for _, e := range u.queuedByKey {
		if expired(e) {
			s.refuseEach(u, u.queue.RemoveFunc(expired), result.DeadlineExpired, actions)
			return
		}
	}
}

// leastUrgent returns the least urgent queued job, or nil if the queue is empty. Among equally urgent
// jobs it returns the one with the highest ID.
func (u *server[P]) leastUrgent() *table.Entry[Job[P]] {
	var leastUrgent *table.Entry[Job[P]]
	for _, e := range u.queuedByKey {
		if leastUrgent == nil || compareUrgency(e, leastUrgent) > 0 {
			leastUrgent = e
		}
	}
	return leastUrgent
}

// compareUrgency orders jobs by class, then deadline, then ID.
func compareUrgency[P any](a, b *table.Entry[Job[P]]) int {
	return cmp.Or(
		cmp.Compare(a.Class, b.Class),
		a.Deadline.Compare(b.Deadline),
		cmp.Compare(a.Item.Key.ID, b.Item.Key.ID),
	)
}
