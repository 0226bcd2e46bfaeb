package member

import (
	"net/netip"
	"time"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/event"
	"pistachioshore.dev/table"
	"pistachioshore.dev/wire"
)

// updateFollowing has a VM of a large tier get the platform state from the aggregators while it receives heartbeats
// from one that reads the platform, because the platform limits the calls of all VMs together.
func (m *Member) follow(now time.Time) {
	on := table.WithResult(m.seen, func(c *contacts) bool {
		return c.announced.Aggregators > 0 && !c.announced.IsAggregator && now.Sub(c.source) < sourceSilence
	})
	m.state.SetFollowing(on)
}

// NotifyFollowers immediately announces a change of the platform state to the VMs that have this one as their primary
// aggregator.
func (m *Member) NotifyFollowers(now time.Time) {
	if !table.WithResult(m.seen, func(c *contacts) bool { return c.announced.IsAggregator }) {
		return
	}
	m.peers.SendAll(m.roster.Followers(now), &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: m.beat(now)})
}

// requestState requests the state of another VM if it is newer. A VM other than the primary aggregator is asked only
// if the primary does not provide the change within primaryHeadStart, which limits the number of VMs that ask one
// aggregator.
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
		m.events.Record(event.Problem, event.F(event.Reason, "cannot export the platform state to another VM"), event.F(event.Peer, to), event.F(event.Error, err))
		return
	}
	m.peers.Send(to, &wire.Envelope{Kind: codec.KindConfigValue, ConfigValue: &wire.ConfigValue{Value: state}})
}
