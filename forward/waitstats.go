package forward

import (
	"time"

	"pistachioshore.dev/waitlist"
)

// WaitStats counts the requests that waited in the VM until an upstream had room, by priority. Less urgent priorities than
// the last one count as that one.
type WaitStats struct {
	Waited  [countedPriorities]uint64                     // requests that began to wait, a retry of one included
	Refused map[waitlist.Reason][countedPriorities]uint64 // requests refused because of the queue, by reason
	Time    Histogram                                     // time that released requests waited
}

func (w WaitStats) clone() WaitStats {
	w.Refused = cloneMap(w.Refused)
	return w
}

func (s *Stats) recordWaiting(priority int) {
	s.state.With(func(c *StatsSnapshot) { c.Waiting.Waited[countedPriority(priority)]++ })
}

func (s *Stats) recordWaited(elapsed time.Duration) {
	s.state.With(func(c *StatsSnapshot) { c.Waiting.Time.add(elapsed) })
}

func (s *Stats) recordWaitRefused(reason waitlist.Reason, priority int) {
	s.state.With(func(c *StatsSnapshot) {
		if c.Waiting.Refused == nil {
			c.Waiting.Refused = map[waitlist.Reason][countedPriorities]uint64{}
		}
		n := c.Waiting.Refused[reason]
		n[countedPriority(priority)]++
		c.Waiting.Refused[reason] = n
	})
}
