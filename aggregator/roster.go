package aggregator

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachioshore.dev/table"
)

// MemberList is the view that one VM has of its tier. It is safe for concurrent use.
//
// In a small tier each VM is connected to all others. In a large tier a VM is connected to aggregators only, and
// an aggregator to the other aggregators and to all VMs that send it heartbeats.
type MemberList struct {
	state *table.Guarded[roster]
}

type roster struct {
	self    VM
	started time.Time
	leaving bool
	members map[netip.AddrPort]*member

	chosen   []VM // aggregators as selected at selectedAt
	chosenAt time.Time
	changed  bool // a VM has joined or is leaving since then
}

// member is the state that this VM keeps for another VM.
type member struct {
	VM
	found       time.Time // heartbeat with which the VM was discovered; zero if there was none
	heard       time.Time // last heartbeat received directly; zero if there was none
	reported    time.Time // last heartbeat reported by another VM
	zoneMembers int       // VMs that it knows in its zone, itself included
	leaving     bool
}

// NewMemberList returns the member list of a VM that started at now and knows no other VM.
func NewMemberList(self VM, now time.Time) *MemberList {
	return &MemberList{state: table.NewGuarded(table.RankPending, roster{self: self, started: now, members: map[netip.AddrPort]*member{}})}
}

// Heartbeat is the information about its sender that a heartbeat carries.
type Heartbeat struct {
	VM
	ZoneMembers int // VMs that the sender knows in its zone, itself included
	Leaving     bool
}

// RecordHeartbeat records a heartbeat and reports whether its sender is newly discovered.
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

// RecordIndirectHeartbeat records that another VM received a heartbeat of the aggregator vm at the given time.
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

// Leave records that this VM is about to stop, which makes it ineligible as an aggregator.
func (r *MemberList) Leave() {
	r.state.With(func(s *roster) { s.leaving, s.changed = true, true })
}

// Count returns the number of VMs in the tier, this one included. A VM without heartbeats still counts for
// memberRetention, because a partitioned VM continues to send requests.
func (r *MemberList) Count(now time.Time) int {
	return table.WithResult(r.state, func(s *roster) int { return s.count(now) })
}

// ZoneCount returns the number of VMs known in this VM's zone, itself included.
func (r *MemberList) ZoneCount(now time.Time) int {
	return table.WithResult(r.state, func(s *roster) int { return s.known(now)[s.self.Zone] })
}

// Aggregators returns the aggregators of a large tier. A small tier has none.
func (r *MemberList) Aggregators(now time.Time) []VM {
	return table.WithResult(r.state, func(s *roster) []VM { return s.aggregators(now) })
}

// PrimaryAggregator returns the aggregator in its own zone from which vm receives the platform state first. VMs
// are assigned to the aggregators of their zone by a hash of their address. It returns false if the zone has no
// aggregator.
func (r *MemberList) PrimaryAggregator(now time.Time, vm VM) (netip.AddrPort, bool) {
	return table.WithResults(r.state, func(s *roster) (netip.AddrPort, bool) { return home(s.aggregators(now), vm) })
}

// Followers returns the VMs that have this VM as their primary aggregator.
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

// ShouldConnect reports whether this VM should be connected to another one.
func (r *MemberList) ShouldConnect(now time.Time, vm netip.AddrPort) bool {
	return table.WithResult(r.state, func(s *roster) bool { return s.linked(now, vm) })
}

// LastSeen returns the time of the last heartbeat of the VM, received directly or reported by another VM. It is
// zero if there was none.
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

// seenByZone counts the VMs in each zone that this VM has seen within memberRetention.
func (s *roster) known(now time.Time) map[string]int {
	zones := map[string]int{s.self.Zone: 1}
	for _, m := range s.members {
		if now.Sub(m.last()) < remembered {
			zones[m.Zone]++
		}
	}
	return zones
}

// aggregatorQuota returns the number of aggregators for a zone with the given number of VMs. It grows with the zone,
// because the CPUs of the aggregators handle the queries of all its VMs.
func seats(members int) int {
	return min(max((members+membersPerSeat-1)/membersPerSeat, leastSeats), mostSeats)
}

// membersByZone returns the number of VMs in each zone. It uses the largest count reported from within the zone,
// because no VM of a large tier receives heartbeats from all others.
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

// aggregators returns the current aggregators. It selects them again after a change of the tier, and when the
// selection is older than selectionTTL.
func (s *roster) aggregators(now time.Time) []VM {
	age := now.Sub(s.chosenAt)
	if s.changed || age < 0 || age >= chooseEvery {
		s.forget(now)
		s.chosen, s.chosenAt, s.changed = s.choose(now), now, false
	}
	return s.chosen
}

// evictExpired removes the VMs that have not been seen within memberRetention.
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

// aggregatorLinks returns the aggregators to which a VM that is not an aggregator stays connected: all in its own
// zone, and a few in other zones in case those fail.
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
