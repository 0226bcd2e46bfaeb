package member

import (
	"net/netip"
	"time"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/event"
	"pistachioshore.dev/table"
	"pistachioshore.dev/wire"
)

// follow has a VM of a large tier learn of the platform from the aggregators, as long as it hears one that the
// platform answers: the calls to the platform are limited over all VMs.
func (m *Member) follow(now time.Time) {
	on := table.WithResult(m.seen, func(c *contacts) bool {
		return c.announced.Aggregators > 0 && !c.announced.IsAggregator && now.Sub(c.source) < sourceSilence
	})
	m.state.SetFollowing(on)
}

// NotifyFollowers tells the VMs whose home this one is of a change at once.
func (m *Member) NotifyFollowers(now time.Time) {
	if !table.WithResult(m.seen, func(c *contacts) bool { return c.announced.IsAggregator }) {
		return
	}
	m.peers.SendAll(m.roster.Followers(now), &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: m.beat(now)})
}

// ask asks another VM for its state if that would tell something new. One that is not this VM's home is asked
// only if the home does not tell it meanwhile, so that few VMs ask one aggregator.
func (m *Member) ask(now time.Time, from netip.AddrPort, away bool, cursors []uint64) {
	wanted := m.state.NeedsImport(cursors)
	due := false
	m.seen.With(func(c *contacts) {
		switch {
		case !wanted && !away:
			c.behind = time.Time{}
		case wanted && c.behind.IsZero():
			c.behind = now
		}
		patient := away && now.Sub(c.home) < sourceSilence && now.Sub(c.behind) < homeFirst
		due = wanted && !patient && now.Sub(c.asked) >= askEvery
		if due {
			c.asked = now
		}
	})
	if due {
		m.peers.Send(from, &wire.Envelope{Kind: codec.KindConfigRequest, ConfigRequest: &wire.ConfigRequest{Cursors: m.state.Cursors()}})
	}
}

func (m *Member) export(to netip.AddrPort, since []uint64) {
	state, err := m.state.Export(since)
	if err != nil {
		m.events.Record(event.Problem, event.F(event.Reason, "state for another VM"), event.F(event.Peer, to), event.F(event.Error, err))
		return
	}
	m.peers.Send(to, &wire.Envelope{Kind: codec.KindConfigValue, ConfigValue: &wire.ConfigValue{Value: state}})
}
