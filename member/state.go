package member

import (
	"maps"
	"net/netip"
	"time"

	"pistachioshore.dev/aggregator"
	"pistachioshore.dev/codec"
	"pistachioshore.dev/event"
	"pistachioshore.dev/table"
	"pistachioshore.dev/wire"
)

// updateFollowing has a VM of a large tier get the platform state from the aggregators, because the platform limits the calls of
// all VMs together. It does so only while they confirm that it knows all changes: if they no longer read the platform, if their
// heartbeats are held up, or if their state does not arrive, it reads the platform itself.
func (m *Member) updateFollowing() {
	shares := table.WithResult(m.peerState, func(s *peerState) aggregator.LimitShares { return s.shares })
	isLarge := shares.Aggregators > 0
	m.state.SetFollowed(isLarge && shares.IsAggregator)
	m.state.SetFollowing(isLarge && !shares.IsAggregator && m.state.IsConfirmed())
}

// confirmState records what the heartbeat of a VM that reads the platform proves: the sender knew all changes up to its cursors
// some time ago, which is the age of its proof and the time that the heartbeat took. VMs of earlier versions state no age and
// prove nothing.
func (m *Member) confirmState(now time.Time, from netip.AddrPort, h *wire.Heartbeat, cursors []Cursor) {
	if h.SentAt == 0 {
		return
	}
	receivedAt := m.state.BootClock()
	late := table.WithResult(m.peerState, func(s *peerState) time.Duration {
		t := s.transits[from]
		if t == nil {
			t = &transit{}
			s.transits[from] = t
		}
		return t.excess(h.Incarnation, h.SentAt, receivedAt)
	})
	if h.Fed && h.StateAge >= 0 {
		m.state.ConfirmCurrent(now, receivedAt-usualTransit-late-h.StateAge, cursors)
	}
}

// expireExchanges forgets the requests that were answered or have timed out, and the VMs that no longer send heartbeats.
func (m *Member) expireExchanges(now time.Time) {
	bootNow := m.state.BootClock()
	m.peerState.With(func(s *peerState) {
		maps.DeleteFunc(s.asked, func(_ netip.AddrPort, mayAskFrom time.Time) bool { return !now.Before(mayAskFrom) })
		maps.DeleteFunc(s.transits, func(_ netip.AddrPort, t *transit) bool { return t.isStale(bootNow) })
	})
}

// handleReportedZones records the zones that the primary aggregator cannot reach. Its queries over shards go through the
// aggregators of this VM's zone, so that this VM cannot see this itself. An aggregator relies on its own attempts.
func (m *Member) handleReportedZones(now time.Time, zones []string) {
	isAggregator := table.WithResult(m.peerState, func(s *peerState) bool { return s.shares.IsAggregator })
	if isAggregator {
		return
	}
	m.peerState.With(func(s *peerState) { s.zonesReportedAt = now })
	m.listener.SetReportedZones(zones)
}

// expireReportedZones drops the unreachable zones that the primary aggregator reported, once it sends no heartbeats.
func (m *Member) expireReportedZones(now time.Time) {
	expired := false
	m.peerState.With(func(s *peerState) {
		expired = !s.zonesReportedAt.IsZero() && now.Sub(s.zonesReportedAt) >= sourceTimeout
		if expired {
			s.zonesReportedAt = time.Time{}
		}
	})
	if expired {
		m.listener.SetReportedZones(nil)
	}
}

// NotifyFollowers immediately announces a change of the platform state to the VMs that have this one as their primary
// aggregator.
func (m *Member) NotifyFollowers(now time.Time) {
	if !table.WithResult(m.peerState, func(s *peerState) bool { return s.shares.IsAggregator }) {
		return
	}
	m.peers.SendAll(m.members.Followers(now), &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: m.newHeartbeat(now)})
}

// requestState requests the state of another VM if it is newer. A VM other than the primary aggregator is asked only
// if the primary does not provide the change within primaryHeadStart, which limits the number of VMs that ask one
// aggregator.
func (m *Member) requestState(now time.Time, from netip.AddrPort, notPrimary bool, cursors []Cursor) {
	needed := m.state.NeedsImport(cursors)
	due := false
	m.peerState.With(func(s *peerState) {
		switch {
		case !needed && !notPrimary:
			s.behindSince = time.Time{}
		case needed && s.behindSince.IsZero():
			s.behindSince = now
		}
		waitForPrimary := notPrimary && now.Sub(s.lastPrimary) < sourceTimeout && now.Sub(s.behindSince) < primaryHeadStart
		due = needed && !waitForPrimary && now.Sub(s.lastRequest) >= stateRequestInterval && !now.Before(s.asked[from])
		if due {
			s.lastRequest = now
			s.asked[from] = now.Add(stateResponseTimeout)
		}
	})
	if due {
		r := &wire.ConfigRequest{Pages: true}
		r.Cursors, r.Eras = toWireCursors(m.state.Cursors())
		m.peers.Send(from, &wire.Envelope{Kind: codec.KindConfigRequest, ConfigRequest: r})
	}
}

// importPage applies a page of another VM's state. With the last page the VM may soon be asked again, since it may have newer
// changes by then.
func (m *Member) importPage(now time.Time, from netip.AddrPort, page []byte) {
	complete, err := m.state.Import(page)
	if err != nil {
		m.events.Record(event.Problem, event.F(event.Reason, "cannot import the platform state of another VM"), event.F(event.Peer, from), event.F(event.Error, err))
	}
	wait := stateResponseTimeout
	if complete {
		wait = stateRequestInterval
	}
	m.peerState.With(func(s *peerState) { s.asked[from] = now.Add(wait) })
}

// sendState sends what a VM lacks of the platform state.
func (m *Member) sendState(to netip.AddrPort, since []Cursor, pages bool) {
	state, err := m.state.Export(since, pages)
	if err != nil {
		m.events.Record(event.Problem, event.F(event.Reason, "cannot export the platform state to another VM"), event.F(event.Peer, to), event.F(event.Error, err))
		return
	}
	for _, page := range state {
		if !m.peers.Send(to, &wire.Envelope{Kind: codec.KindConfigValue, ConfigValue: &wire.ConfigValue{Value: page}}) {
			return // the VM asks again
		}
	}
}
