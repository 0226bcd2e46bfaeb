package aggregator

import (
	"cmp"
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
	state *table.Guarded[memberList]
}

type memberList struct {
	self    VM
	started time.Time
	leaving bool
	members map[netip.AddrPort]*member

	selected   []VM // aggregators as selected at selectedAt
	selectedAt time.Time
	changed    bool // a VM has joined or is leaving since then
}

// member is the state that this VM keeps for another VM.
type member struct {
	VM
	discovered        time.Time // heartbeat with which the VM was discovered; zero if there was none
	heartbeat         time.Time // last heartbeat received directly; zero if there was none
	indirectHeartbeat time.Time // last heartbeat reported by another VM
	incarnation       uint64    // of the sender of the last heartbeat
	zoneMembers       int       // VMs that it knows in its zone, itself included
	leaving           bool
}

// NewMemberList returns the member list of a VM that started at now and knows no other VM.
func NewMemberList(self VM, now time.Time) *MemberList {
	return &MemberList{state: table.NewGuarded(table.RankPending, memberList{self: self, started: now, members: map[netip.AddrPort]*member{}})}
}

// Heartbeat is the information about its sender that a heartbeat carries.
type Heartbeat struct {
	VM
	Incarnation uint64 // differs for each start of the process
	ZoneMembers int    // VMs that the sender knows in its zone, itself included
	Leaving     bool   // the sender is about to stop
}

// RecordHeartbeat records a heartbeat and reports whether its sender is newly discovered. A VM that has started again is
// new, however soon, because it knows nothing of what others told it before.
func (l *MemberList) RecordHeartbeat(now time.Time, h Heartbeat) bool {
	return table.WithResult(l.state, func(s *memberList) bool {
		m := s.member(h.Address)
		isNew := m.heartbeat.IsZero() || now.Sub(m.heartbeat) >= memberRetention || m.incarnation != h.Incarnation
		if isNew {
			m.discovered = now
		}
		s.changed = s.changed || isNew || m.leaving != h.Leaving
		m.VM, m.heartbeat, m.incarnation = h.VM, now, h.Incarnation
		m.zoneMembers, m.leaving = h.ZoneMembers, h.Leaving
		return isNew
	})
}

// RecordIndirectHeartbeat records that another VM received a heartbeat of the aggregator vm at the given time. Other VMs report
// only aggregators that are not leaving, so that a VM which has left counts as started again.
func (l *MemberList) RecordIndirectHeartbeat(vm VM, at time.Time) {
	l.state.With(func(s *memberList) {
		if vm.Address == s.self.Address {
			return
		}
		m := s.member(vm.Address)
		if m.heartbeat.IsZero() {
			s.changed = s.changed || m.Zone == ""
			m.VM = vm
		}
		if m.leaving && at.Sub(m.heartbeat) >= leavingSilence {
			m.leaving, s.changed = false, true
		}
		if at.After(m.indirectHeartbeat) {
			m.indirectHeartbeat = at
		}
	})
}

// Leave records that this VM is about to stop, which makes it ineligible as an aggregator.
func (l *MemberList) Leave() {
	l.state.With(func(s *memberList) { s.leaving, s.changed = true, true })
}

// Count returns the number of VMs in the tier, this one included. A VM without heartbeats still counts for
// memberRetention, because a partitioned VM continues to send requests.
func (l *MemberList) Count(now time.Time) int {
	return table.WithResult(l.state, func(s *memberList) int { return s.count(now) })
}

// LimitShares returns how the limits of upstreams are divided among the VMs.
func (l *MemberList) LimitShares(now time.Time) LimitShares {
	return table.WithResult(l.state, func(s *memberList) LimitShares {
		aggregators := s.aggregators(now)
		shares := LimitShares{Members: s.count(now), Aggregators: len(aggregators), IsAggregator: Contains(aggregators, s.self.Address)}
		for _, a := range aggregators {
			if a.Zone == s.self.Zone {
				shares.ZoneAggregators++
			}
		}
		shares.ZoneMembers = s.membersByZone(now)[s.self.Zone]
		if now.Sub(s.started) < discoveryPeriod {
			shares.ZoneMembers = shares.Members // those of the zone are not known yet
		}
		return shares
	})
}

// MembersByZone returns the number of VMs in each zone, counted as Count does.
func (l *MemberList) MembersByZone(now time.Time) map[string]int {
	return table.WithResult(l.state, func(s *memberList) map[string]int { return s.membersByZone(now) })
}

// ZoneCount returns the number of VMs known in this VM's zone, itself included.
func (l *MemberList) ZoneCount(now time.Time) int {
	return table.WithResult(l.state, func(s *memberList) int { return s.seenByZone(now)[s.self.Zone] })
}

// Aggregators returns the aggregators of a large tier. It returns none for a small tier, where every VM is one.
func (l *MemberList) Aggregators(now time.Time) []VM {
	return table.WithResult(l.state, func(s *memberList) []VM { return s.aggregators(now) })
}

// AggregatorLinks returns the aggregators to which this VM stays connected, and to which it can forward parts of queries:
// all VMs of a small tier, and those that ShouldConnect names in a large one. This VM is in the list if it is one.
func (l *MemberList) AggregatorLinks(now time.Time) []VM {
	return table.WithResult(l.state, func(s *memberList) []VM {
		aggregators := s.aggregators(now)
		switch {
		case len(aggregators) == 0:
			return s.liveVMs(now)
		case Contains(aggregators, s.self.Address):
			return aggregators
		default:
			return s.aggregatorLinks(aggregators)
		}
	})
}

// PrimaryAggregator returns the aggregator from which vm receives the platform state first, that is, the configuration
// and the list of servers that the platform publishes. VMs are assigned to the aggregators of their zone, or to those of
// all zones if it has none, by a hash of their address. It returns false if there are no aggregators.
func (l *MemberList) PrimaryAggregator(now time.Time, vm VM) (netip.AddrPort, bool) {
	return table.WithResults(l.state, func(s *memberList) (netip.AddrPort, bool) { return primaryAggregator(s.aggregators(now), vm) })
}

// Followers returns the VMs that have this VM as their primary aggregator.
func (l *MemberList) Followers(now time.Time) []netip.AddrPort {
	return table.WithResult(l.state, func(s *memberList) []netip.AddrPort {
		aggregators := s.aggregators(now)
		var list []netip.AddrPort
		for vm, m := range s.members {
			if primary, ok := primaryAggregator(aggregators, m.VM); ok && primary == s.self.Address {
				list = append(list, vm)
			}
		}
		return list
	})
}

func primaryAggregator(aggregators []VM, vm VM) (netip.AddrPort, bool) {
	candidates := inZone(aggregators, vm.Zone)
	if len(candidates) == 0 {
		candidates = aggregators
	}
	if len(candidates) == 0 {
		return netip.AddrPort{}, false
	}
	return slices.MaxFunc(candidates, func(a, b VM) int { return cmp.Compare(affinity(vm, a), affinity(vm, b)) }).Address, true
}

// inZone returns the VMs of a zone.
func inZone(list []VM, zone string) []VM {
	return slices.DeleteFunc(slices.Clone(list), func(vm VM) bool { return vm.Zone != zone })
}

// affinity is a hash by which a VM ranks aggregators, so that the VMs spread over them evenly and few move when the
// aggregators change.
func affinity(vm, aggregator VM) uint64 {
	return xxhash.Sum64String(vm.Address.String() + " " + aggregator.Address.String())
}

// ShouldConnect reports whether this VM should be connected to another one.
func (l *MemberList) ShouldConnect(now time.Time, vm netip.AddrPort) bool {
	return table.WithResult(l.state, func(s *memberList) bool { return s.shouldConnect(now, vm) })
}

// Zone returns the zone of a VM, if it is known.
func (l *MemberList) Zone(vm netip.AddrPort) (string, bool) {
	return table.WithResults(l.state, func(s *memberList) (string, bool) {
		m, ok := s.members[vm]
		if !ok || m.Zone == "" {
			return "", false
		}
		return m.Zone, true
	})
}

// IsIntroduced reports whether a VM was discovered so recently that it still learns about the tier.
func (l *MemberList) IsIntroduced(now time.Time, vm netip.AddrPort) bool {
	return table.WithResult(l.state, func(s *memberList) bool {
		m, ok := s.members[vm]
		return ok && m.introduced(now)
	})
}

// LastSeen returns the time of the last heartbeat of the VM, received directly or reported by another VM. It is
// zero if there was none.
func (l *MemberList) LastSeen(vm netip.AddrPort) time.Time {
	return table.WithResult(l.state, func(s *memberList) time.Time {
		m, ok := s.members[vm]
		if !ok {
			return time.Time{}
		}
		return m.lastSeen()
	})
}

func (s *memberList) member(vm netip.AddrPort) *member {
	m, ok := s.members[vm]
	if !ok {
		m = &member{VM: VM{Address: vm}}
		s.members[vm] = m
	}
	return m
}

func (m *member) introduced(now time.Time) bool {
	return !m.discovered.IsZero() && now.Sub(m.discovered) < introductionPeriod
}

func (m *member) lastSeen() time.Time {
	if m.indirectHeartbeat.After(m.heartbeat) {
		return m.indirectHeartbeat
	}
	return m.heartbeat
}

// seenByZone counts the VMs in each zone that this VM has seen within memberRetention.
func (s *memberList) seenByZone(now time.Time) map[string]int {
	zones := map[string]int{s.self.Zone: 1}
	for _, m := range s.members {
		if now.Sub(m.lastSeen()) < memberRetention {
			zones[m.Zone]++
		}
	}
	return zones
}

// aggregatorQuota returns the number of aggregators for a zone with the given number of VMs. It grows with the zone,
// because the CPUs of the aggregators handle the queries of all its VMs.
func aggregatorQuota(members int) int {
	return min(max((members+membersPerAggregator-1)/membersPerAggregator, minAggregatorsPerZone), maxAggregatorsPerZone)
}

// membersByZone returns the number of VMs in each zone. It uses the largest count reported from within the zone,
// because no VM of a large tier receives heartbeats from all others.
func (s *memberList) membersByZone(now time.Time) map[string]int {
	zones := s.seenByZone(now)
	for _, m := range s.members {
		if now.Sub(m.heartbeat) < memberRetention {
			zones[m.Zone] = max(zones[m.Zone], m.zoneMembers)
		}
	}
	return zones
}

func (s *memberList) count(now time.Time) int {
	n := 0
	for _, members := range s.membersByZone(now) {
		n += members
	}
	if now.Sub(s.started) < discoveryPeriod {
		return max(n, assumedMembers)
	}
	return n
}

// aggregators returns the current aggregators. It selects them again after a change of the tier, and when the
// selection is older than selectionTTL.
func (s *memberList) aggregators(now time.Time) []VM {
	age := now.Sub(s.selectedAt)
	if s.changed || age < 0 || age >= selectionTTL {
		s.evictExpired(now)
		s.selected, s.selectedAt, s.changed = s.selectAggregators(now), now, false
	}
	return s.selected
}

// evictExpired removes the VMs that have not been seen within memberRetention.
func (s *memberList) evictExpired(now time.Time) {
	maps.DeleteFunc(s.members, func(_ netip.AddrPort, m *member) bool { return now.Sub(m.lastSeen()) >= memberRetention })
}

func (s *memberList) selectAggregators(now time.Time) []VM {
	if s.count(now) <= maxFullMeshSize {
		return nil
	}
	members := s.membersByZone(now)
	return Select(s.liveVMs(now), func(zone string) int { return aggregatorQuota(members[zone]) })
}

// liveVMs returns the VMs that can be aggregators, in order of address.
func (s *memberList) liveVMs(now time.Time) []VM {
	var live []VM
	if !s.leaving {
		live = append(live, s.self)
	}
	for _, m := range s.members {
		if !m.leaving && m.Zone != "" && now.Sub(m.lastSeen()) < heartbeatTimeout {
			live = append(live, m.VM)
		}
	}
	slices.SortFunc(live, func(a, b VM) int { return a.Address.Compare(b.Address) })
	return live
}

func (s *memberList) shouldConnect(now time.Time, vm netip.AddrPort) bool {
	aggregators := s.aggregators(now)
	m, ok := s.members[vm]
	switch {
	case len(aggregators) == 0:
		return true
	case ok && m.introduced(now):
		return true
	case Contains(aggregators, s.self.Address):
		return Contains(aggregators, vm) || (ok && now.Sub(m.heartbeat) < heartbeatTimeout)
	}
	return Contains(s.aggregatorLinks(aggregators), vm)
}

// aggregatorLinks returns the aggregators to which a VM that is not an aggregator stays connected: all in its own zone,
// and in each other zone one, to which it forwards the parts of its queries for that zone.
func (s *memberList) aggregatorLinks(aggregators []VM) []VM {
	ranked := slices.Clone(aggregators)
	slices.SortFunc(ranked, func(a, b VM) int { return cmp.Compare(affinity(s.self, b), affinity(s.self, a)) })
	linked := map[string]bool{}
	return slices.DeleteFunc(ranked, func(a VM) bool {
		surplus := a.Zone != s.self.Zone && linked[a.Zone]
		linked[a.Zone] = true
		return surplus
	})
}
