package vm

import (
	"net/netip"
	"sync"
	"time"

	"pistachioshore.dev/table"
)

// contacts keeps what readiness depends on: whether the listed VMs were asked for their
// configuration, and since when this VM is out of service.
type contacts struct {
	applying sync.Mutex // held while a configuration is applied; taken before any table
	state    *table.Guarded[contactState]
}

type contactState struct {
	listKnown bool
	silent    map[netip.AddrPort]bool // listed VMs that were never heard
	everHeard map[netip.AddrPort]bool
	drained   time.Time
	asked     configAsk
	tick      time.Time // of the last tick
	heartbeat time.Time // when the last one was sent
}

// configAsk is the configuration that a peer was last asked for.
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

// complete reports whether every listed VM was heard.
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

// drainedFor returns how long this VM has been out of service, 0 if it is in service.
func (c *contacts) drainedFor(now time.Time) time.Duration {
	return table.WithResult(c.state, func(s *contactState) time.Duration {
		if s.drained.IsZero() {
			return 0
		}
		return max(now.Sub(s.drained), time.Nanosecond)
	})
}

// heartbeatDue reports whether a heartbeat has to be sent now, and notes that it is.
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

// lastTick returns the time of the last tick, from which the length of a pause is known.
func (c *contacts) lastTick() time.Time {
	return table.WithResult(c.state, func(s *contactState) time.Time { return s.tick })
}

// mayAsk reports whether a peer should be asked for a configuration, and notes that it is. The
// value can be large, so it is not asked for again while another VM's answer may be on its way.
func (c *contacts) mayAsk(now time.Time, revision, digest uint64) bool {
	return table.WithResult(c.state, func(s *contactState) bool {
		if s.asked.revision == revision && s.asked.digest == digest && now.Sub(s.asked.at) < askAgain {
			return false
		}
		s.asked = configAsk{revision, digest, now}
		return true
	})
}
