package upstream

import (
	"cmp"
	"time"

	"pistachioshore.dev/result"
	"pistachioshore.dev/table"
)

func (s *state[P]) push(u *server[P], j Job[P]) {
	u.waiting[j.Key] = u.queue.Push(int(j.Class), j.Deadline, j)
	s.jobs[j.Key] = u
}

// take removes a queued job.
func (s *state[P]) take(u *server[P], e *table.Entry[Job[P]]) Job[P] {
	u.queue.Remove(e)
	delete(u.waiting, e.Item.Key)
	delete(s.jobs, e.Item.Key)
	return e.Item
}

func (s *state[P]) refuse(u *server[P], e *table.Entry[Job[P]], code result.Code, step *Actions[P]) {
	step.Refuse = append(step.Refuse, RefusedJob[P]{Job: s.take(u, e), Code: code})
}

func (s *state[P]) refuseEach(u *server[P], entries []*table.Entry[Job[P]], code result.Code, step *Actions[P]) {
	for _, e := range entries {
		s.refuse(u, e, code, step)
	}
}

// refuseAll refuses every queued job, most urgent first.
func (s *state[P]) refuseAll(u *server[P], code result.Code, step *Actions[P]) {
	all := func(*table.Entry[Job[P]]) bool { return true }
	s.refuseEach(u, u.queue.RemoveFunc(all), code, step)
}

// expire refuses the queued jobs whose deadline has passed.
func (s *state[P]) expire(now time.Time, u *server[P], step *Actions[P]) {
	expired := func(e *table.Entry[Job[P]]) bool { return !now.Before(e.Deadline) }
	for _, e := range u.waiting {
		if expired(e) {
			s.refuseEach(u, u.queue.RemoveFunc(expired), result.DeadlineExpired, step)
			return
		}
	}
}

// last returns the least urgent queued job, or nil; of equal ones it returns the one with the highest ID.
func (u *server[P]) last() *table.Entry[Job[P]] {
	var last *table.Entry[Job[P]]
	for _, e := range u.waiting {
		if last == nil || compare(e, last) > 0 {
			last = e
		}
	}
	return last
}

func compare[P any](a, b *table.Entry[Job[P]]) int {
	return cmp.Or(
		cmp.Compare(a.Class, b.Class),
		a.Deadline.Compare(b.Deadline),
		cmp.Compare(a.Item.Key.ID, b.Item.Key.ID),
	)
}
