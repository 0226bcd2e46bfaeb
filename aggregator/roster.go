package aggregator

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachioshore.dev/table"
)

// MemberList is a tier as one of its VMs knows it; it is safe for concurrent use.
//
// In a small tier each VM keeps in touch with all others. In a large one a VM keeps in touch with the
// aggregators, and these with all VMs that keep in touch with them.
type MemberList struct {
	state *table.Guarded[roster]
}

type roster struct {
	self    VM
	started time.Time
	leaving bool
	members map[netip.AddrPort]*member

	chosen   []VM // as of chosenAt
	chosenAt time.Time
	changed  bool // a VM came or leaves since then
}

// member is another VM.
type member struct {
	VM
	found       time.Time // first heartbeat of the VM
	heard       time.Time // last one; zero if there was none
	reported    time.Time // last heartbeat that another VM told of
	zoneMembers int       // VMs of its zone that it knows
	leaving     bool
}

// NewMemberList returns the roster of a VM that started at now and knows no other.
func NewMemberList(self VM, now time.Time) *MemberList {
	return &MemberList{state: table.NewGuarded(table.RankPending, roster{self: self, started: now, members: map[netip.AddrPort]*member{}})}
}

// Heartbeat is what a heartbeat tells of its sender.
type Heartbeat struct {
	VM
	ZoneMembers int // VMs of its zone that the sender knows, itself included
	Leaving     bool
}

// RecordHeartbeat takes a heartbeat and reports whether its sender is new.
func (r *MemberList) RecordHeartbeat(now time.Time, b Heartbeat) bool {
	return table.WithResult(r.state, func(s *roster) bool {
		m := s.member(b.Address)
		isNew := m.heard.IsZero() || now.Sub(m.heard) >= remembered
		if isNew {
			m.found = now
		}
		s.changed = s.changed || isNew || m.leaving != b.Leaving
		m.VM, m.heard, m.zoneMembers, m.leaving = b.VM, now, b.ZoneMembers, b.Leaving
		return isNew
	})
}

// RecordIndirectHeartbeat takes an aggregator that another VM has heard at the given time.
func (r *MemberList) RecordIndirectHeartbeat(vm VM, heard time.Time) {
	r.state.With(func(s *roster) {
		if vm.Address == s.self.Address {
			return
		}
		m := s.member(vm.Address)
		if m.heard.IsZero() {
			s.changed = s.changed || m.Zone == ""
			m.VM = vm
		}
		if heard.After(m.reported) {
			m.reported = heard
		}
	})
}

// Leave notes that this VM is about to stop.
func (r *MemberList) Leave() {
	r.state.With(func(s *roster) { s.leaving, s.changed = true, true })
}

// Count returns the number of VMs, this one included. One that fell silent counts for a while: behind a
// partition it goes on sending.
func (r *MemberList) Count(now time.Time) int {
	return table.WithResult(r.state, func(s *roster) int { return s.count(now) })
}

// ZoneCount returns the number of VMs known in this VM's zone, itself included.
func (r *MemberList) ZoneCount(now time.Time) int {
	return table.WithResult(r.state, func(s *roster) int { return s.known(now)[s.self.Zone] })
}

// Aggregators returns the aggregators of a large tier, and none for a small one.
func (r *MemberList) Aggregators(now time.Time) []VM {
	return table.WithResult(r.state, func(s *roster) []VM { return s.aggregators(now) })
}

// PrimaryAggregator returns the aggregator of its own zone that a VM of a large tier learns from first; these share the
// zone's VMs by the VMs' addresses. It returns false for a zone without one.
func (r *MemberList) PrimaryAggregator(now time.Time, vm VM) (netip.AddrPort, bool) {
	return table.WithResults(r.state, func(s *roster) (netip.AddrPort, bool) { return home(s.aggregators(now), vm) })
}

// Followers returns the VMs whose home this VM is.
func (r *MemberList) Followers(now time.Time) []netip.AddrPort {
	return table.WithResult(r.state, func(s *roster) []netip.AddrPort {
		chosen := s.aggregators(now)
		var list []netip.AddrPort
		for vm, m := range s.members {
			if h, ok := home(chosen, m.VM); ok && h == s.self.Address {
				list = append(list, vm)
			}
		}
		return list
	})
}

func home(chosen []VM, vm VM) (netip.AddrPort, bool) {
	var own []VM
	for _, c := range chosen {
		if c.Zone == vm.Zone {
			own = append(own, c)
		}
	}
	if len(own) == 0 {
		return netip.AddrPort{}, false
	}
	return own[xxhash.Sum64String(vm.Address.String())%uint64(len(own))].Address, true
}

// ShouldConnect reports whether this VM keeps in touch with another one.
func (r *MemberList) ShouldConnect(now time.Time, vm netip.AddrPort) bool {
	return table.WithResult(r.state, func(s *roster) bool { return s.linked(now, vm) })
}

// LastSeen returns when the VM was last heard, by this VM or one that told it; zero if it never was.
func (r *MemberList) LastSeen(vm netip.AddrPort) time.Time {
	return table.WithResult(r.state, func(s *roster) time.Time {
		m, ok := s.members[vm]
		if !ok {
			return time.Time{}
		}
		return m.last()
	})
}

func (s *roster) member(vm netip.AddrPort) *member {
	m, ok := s.members[vm]
	if !ok {
		m = &member{VM: VM{Address: vm}}
		s.members[vm] = m
	}
	return m
}

func (m *member) last() time.Time {
	if m.reported.After(m.heard) {
		return m.reported
	}
	return m.heard
}

// known counts the VMs of each zone that were heard of lately.
func (s *roster) known(now time.Time) map[string]int {
	zones := map[string]int{s.self.Zone: 1}
	for _, m := range s.members {
		if now.Sub(m.last()) < remembered {
			zones[m.Zone]++
		}
	}
	return zones
}

// seats returns the number of aggregators of a zone: their processors carry the queries of all its VMs.
func seats(members int) int {
	return min(max((members+membersPerSeat-1)/membersPerSeat, leastSeats), mostSeats)
}

// zones counts the VMs of each zone. It takes the greatest number that a VM there knows, because no VM of a
// large tier hears all others.
func (s *roster) zones(now time.Time) map[string]int {
	zones := s.known(now)
	for _, m := range s.members {
		if now.Sub(m.heard) < remembered {
			zones[m.Zone] = max(zones[m.Zone], m.zoneMembers)
		}
	}
	return zones
}

func (s *roster) count(now time.Time) int {
	n := 0
	for _, members := range s.zones(now) {
		n += members
	}
	if now.Sub(s.started) < settled {
		return max(n, assumedMembers)
	}
	return n
}

// aggregators returns the aggregators, which are chosen anew after a change and from time to time.
func (s *roster) aggregators(now time.Time) []VM {
	age := now.Sub(s.chosenAt)
	if s.changed || age < 0 || age >= chooseEvery {
		s.forget(now)
		s.chosen, s.chosenAt, s.changed = s.choose(now), now, false
	}
	return s.chosen
}

// forget drops the VMs that no longer count.
func (s *roster) forget(now time.Time) {
	maps.DeleteFunc(s.members, func(_ netip.AddrPort, m *member) bool { return now.Sub(m.last()) >= remembered })
}

func (s *roster) choose(now time.Time) []VM {
	if s.count(now) <= meshLimit {
		return nil
	}
	var live []VM
	if !s.leaving {
		live = append(live, s.self)
	}
	for _, m := range s.members {
		if !m.leaving && m.Zone != "" && now.Sub(m.last()) < silentAfter {
			live = append(live, m.VM)
		}
	}
	members := s.zones(now)
	return Select(live, func(zone string) int { return seats(members[zone]) })
}

func (s *roster) linked(now time.Time, vm netip.AddrPort) bool {
	chosen := s.aggregators(now)
	m, ok := s.members[vm]
	switch {
	case len(chosen) == 0:
		return true
	case ok && !m.found.IsZero() && now.Sub(m.found) < introduction:
		return true
	case slices.ContainsFunc(chosen, func(c VM) bool { return c.Address == s.self.Address }):
		return slices.ContainsFunc(chosen, func(c VM) bool { return c.Address == vm }) ||
			(ok && now.Sub(m.heard) < silentAfter)
	}
	return slices.ContainsFunc(s.links(chosen), func(c VM) bool { return c.Address == vm })
}

// links returns the aggregators that a VM which is none keeps in touch with: those of its own zone, and a few
// of other zones in case its own are lost.
func (s *roster) links(chosen []VM) []VM {
	away := 0
	return slices.DeleteFunc(slices.Clone(chosen), func(c VM) bool {
		if c.Zone == s.self.Zone {
			return false
		}
		away++
		return away > awayLinks
	})
}
