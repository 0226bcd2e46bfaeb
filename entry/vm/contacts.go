package vm

import (
	"net/netip"
	"sync"
	"time"

	"pistachioshore.dev/table"
)

// contacts tracks which listed VMs have sent a heartbeat and since when this VM is drained, both of
// which readiness depends on, and the times of the periodic tasks.
type contacts struct {
	applying sync.Mutex // serializes applyConfig; locked before any table
	state    *table.Guarded[contactState]
}

type contactState struct {
	listKnown bool
	silent    map[netip.AddrPort]bool // listed VMs that have sent no heartbeat yet
	everHeard map[netip.AddrPort]bool
	drained   time.Time // zero if in service
	asked     configAsk
	tick      time.Time
	heartbeat time.Time
}

// configAsk is the latest request for a peer's configuration.
type configAsk struct {
	revision uint64
	digest   uint64
	at       time.Time
}

func newContacts() *contacts {
	return &contacts{state: table.NewGuarded(table.RankPending, contactState{
		silent: map[netip.AddrPort]bool{}, everHeard: map[netip.AddrPort]bool{},
	})}
}

func (c *contacts) listed(peers []netip.AddrPort) {
	c.state.With(func(s *contactState) {
		s.listKnown = true
		clear(s.silent)
		for _, p := range peers {
			if !s.everHeard[p] {
				s.silent[p] = true
			}
		}
	})
}

func (c *contacts) heard(peer netip.AddrPort) {
	c.state.With(func(s *contactState) {
		s.everHeard[peer] = true
		delete(s.silent, peer)
	})
}

// complete reports whether every listed VM has sent a heartbeat.
func (c *contacts) complete() bool {
	return table.WithResult(c.state, func(s *contactState) bool { return s.listKnown && len(s.silent) == 0 })
}

func (c *contacts) setDrained(now time.Time, out bool) {
	c.state.With(func(s *contactState) {
		switch {
		case !out:
			s.drained = time.Time{}
		case s.drained.IsZero():
			s.drained = now
		}
	})
}

// drainedFor returns how long this VM has been drained, or 0 if it is in service.
func (c *contacts) drainedFor(now time.Time) time.Duration {
	return table.WithResult(c.state, func(s *contactState) time.Duration {
		if s.drained.IsZero() {
			return 0
		}
		return max(now.Sub(s.drained), time.Nanosecond)
	})
}

// heartbeatDue reports whether a heartbeat is due and, if so, records that it is sent at now.
func (c *contacts) heartbeatDue(now time.Time, every time.Duration) bool {
	return table.WithResult(c.state, func(s *contactState) bool {
		if now.Sub(s.heartbeat) < every {
			return false
		}
		s.heartbeat = now
		return true
	})
}

func (c *contacts) ticked(now time.Time) {
	c.state.With(func(s *contactState) { s.tick = now })
}

// lastTick returns the time of the last tick, from which the length of a process pause is computed.
func (c *contacts) lastTick() time.Time {
	return table.WithResult(c.state, func(s *contactState) time.Time { return s.tick })
}

// mayAsk reports whether to request a configuration now and, if so, records the request. The
// configuration can be large, so it is not requested again while a reply may be in flight.
func (c *contacts) mayAsk(now time.Time, revision, digest uint64) bool {
	return table.WithResult(c.state, func(s *contactState) bool {
		if s.asked.revision == revision && s.asked.digest == digest && now.Sub(s.asked.at) < askAgain {
			return false
		}
		s.asked = configAsk{revision, digest, now}
		return true
	})
}
