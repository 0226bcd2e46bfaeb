// Package aggregator selects the VMs that fan out queries to the shards on behalf of others.
//
// A shard server handles only a few dozen connections, so that in a large tier only a few VMs of each availability zone,
// the aggregators, can keep connections open to the servers. In a small tier every VM is an aggregator. A query is split
// by availability zone, and each part is fanned out by an aggregator of its zone.
package aggregator

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachioshore.dev/table"
)

// VM describes a VM that can be selected as an aggregator.
type VM struct {
	Address netip.AddrPort // where it accepts connections from other VMs
	Zone    string         // its availability zone
	Cores   float64        // CPU cores that the VM may use, possibly a fraction
}

// LimitShares describes how the limits of an upstream are divided among the VMs of the tier.
type LimitShares struct {
	Members      int  // VMs in the tier, at least 1
	Aggregators  int  // aggregators in the tier; 0 in a small tier, where every VM is one
	IsAggregator bool // this VM is an aggregator

	ZoneMembers     int // VMs in the zone of this VM, itself included
	ZoneAggregators int // aggregators in the zone of this VM
}

// SingleUpstream returns the fraction of a limit that this VM may use for requests to a single upstream.
func (s LimitShares) SingleUpstream() float64 {
	return 1 / float64(max(s.Members, 1))
}

// ShardedQuery returns the fraction of a limit that this VM may use for sharded queries. Part of each limit is
// reserved for VMs that find no available aggregator and fan out a query themselves.
func (s LimitShares) ShardedQuery() float64 {
	switch {
	case s.Aggregators == 0:
		return s.SingleUpstream()
	case s.IsAggregator:
		return aggregatorShare / float64(s.Aggregators)
	default:
		return (1 - aggregatorShare) * s.SingleUpstream()
	}
}

// Requests returns the fractions of an upstream's request limit that this VM may use, at an upstream in its own zone and at
// one in another zone. VMs send most requests to upstreams in their zone, so that these get most of the limit.
func (s LimitShares) Requests(sharded bool) (sameZone, otherZone float64) {
	total, inTier, inZone := 1.0, s.Members, s.ZoneMembers
	if sharded && s.Aggregators > 0 {
		total, inTier, inZone = aggregatorShare, s.Aggregators, s.ZoneAggregators
		if !s.IsAggregator {
			return (1 - aggregatorShare) * s.SingleUpstream(), (1 - aggregatorShare) * s.SingleUpstream()
		}
	}
	inTier, inZone = max(inTier, 1), max(inZone, 1)
	if inZone >= inTier {
		return total / float64(inTier), total / float64(inTier)
	}
	return total * sameZoneShare / float64(inZone), total * (1 - sameZoneShare) / float64(inTier)
}

// ColdStartVMs returns the number of VMs that share the request limit of an upstream during its cold start.
// In a large tier, an aggregator divides the limit by the number of aggregators only, because a share well below
// one request per second is useless.
func (s LimitShares) ColdStartVMs() int {
	if s.IsAggregator {
		return s.Aggregators
	}
	return max(s.Members, 1)
}

// Select returns the aggregators of a tier. It picks up to quota(zone) VMs in each zone, preferring those with the most
// cores and breaking ties by address, so that VMs with the same view of the tier select the same aggregators.
func Select(vms []VM, quota func(zone string) int) []VM {
	sorted := slices.SortedFunc(slices.Values(vms), func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), a.Address.Compare(b.Address))
	})
	selected := map[string]int{}
	return slices.DeleteFunc(sorted, func(vm VM) bool {
		selected[vm.Zone]++
		return selected[vm.Zone] > quota(vm.Zone)
	})
}

// Contains reports whether the VM with the given address is in the list.
func Contains(list []VM, address netip.AddrPort) bool {
	return slices.ContainsFunc(list, func(vm VM) bool { return vm.Address == address })
}

// Table holds the aggregators to which a VM can forward parts of queries. It is safe for concurrent use.
type Table struct {
	state *table.Guarded[tableState]
}

type tableState struct {
	self        VM
	aggregators []VM
	peers       map[netip.AddrPort]*peer
	picks       uint64 // calls of pick, so that equally loaded aggregators take turns
}

// peer is the state that this VM keeps for one aggregator.
type peer struct {
	pending      int // queries forwarded and not yet answered
	timeouts     int // consecutive queries that were not accepted in time
	backoffUntil time.Time
}

// New returns a table without aggregators. A VM with an empty table fans out all queries itself.
func New(self VM) *Table {
	return &Table{state: table.NewGuarded(table.RankPending, tableState{self: self, peers: map[netip.AddrPort]*peer{}})}
}

// SetAggregators replaces the aggregators and drops the state of those that are no longer listed. The list may contain
// this VM.
func (t *Table) SetAggregators(aggregators []VM) {
	t.state.With(func(s *tableState) {
		s.aggregators = slices.Clone(aggregators)
		for vm := range s.peers {
			if !Contains(aggregators, vm) {
				delete(s.peers, vm)
			}
		}
	})
}

// FansOut reports whether this VM fans out queries: it is an aggregator, or knows none.
func (t *Table) FansOut() bool {
	return table.WithResult(t.state, func(s *tableState) bool {
		return len(s.aggregators) == 0 || Contains(s.aggregators, s.self.Address)
	})
}

// Zones returns the zones with an aggregator, other than this VM, that accepts queries as far as is known.
func (t *Table) Zones(now time.Time) []string {
	return table.WithResult(t.state, func(s *tableState) []string {
		var zones []string
		for _, vm := range s.aggregators {
			if s.available(now, vm) && !slices.Contains(zones, vm.Zone) {
				zones = append(zones, vm.Zone)
			}
		}
		return zones
	})
}

// Pick selects the aggregator of a zone for a query, skipping this VM and those in tried, and counts the query as pending
// there. The caller must call Done exactly once when the query has ended. Pick returns false if there is none.
func (t *Table) Pick(now time.Time, zone string, tried []netip.AddrPort) (netip.AddrPort, bool) {
	return table.WithResults(t.state, func(s *tableState) (netip.AddrPort, bool) { return s.pick(now, zone, tried) })
}

// Done releases a pending query counted by Pick.
func (t *Table) Done(vm netip.AddrPort) {
	t.state.With(func(s *tableState) {
		if p, ok := s.peers[vm]; ok {
			p.pending = max(p.pending-1, 0)
		}
	})
}

// MarkUnresponsive records that the aggregator did not accept a query in time. Pick skips the aggregator for a
// backoff period that doubles with each consecutive call.
func (t *Table) MarkUnresponsive(now time.Time, vm netip.AddrPort) {
	t.state.With(func(s *tableState) {
		p := s.peer(vm)
		p.backoffUntil = now.Add(min(initialBackoff<<min(p.timeouts, 5), maxBackoff))
		p.timeouts++
	})
}

// MarkResponsive records that the aggregator has responded, and resets its backoff.
func (t *Table) MarkResponsive(vm netip.AddrPort) {
	t.state.With(func(s *tableState) {
		if p, ok := s.peers[vm]; ok {
			p.timeouts, p.backoffUntil = 0, time.Time{}
		}
	})
}

func (s *tableState) peer(vm netip.AddrPort) *peer {
	p, ok := s.peers[vm]
	if !ok {
		p = &peer{}
		s.peers[vm] = p
	}
	return p
}

// available reports whether the VM is another one that is not skipped at the moment.
func (s *tableState) available(now time.Time, vm VM) bool {
	return vm.Address != s.self.Address && !now.Before(s.peer(vm.Address).backoffUntil)
}

// pick prefers the aggregator with the fewest pending queries. Equally loaded ones take turns, starting at one that
// depends on this VM, because a VM seldom has more than one query pending.
func (s *tableState) pick(now time.Time, zone string, tried []netip.AddrPort) (netip.AddrPort, bool) {
	candidates := slices.DeleteFunc(inZone(s.aggregators, zone), func(vm VM) bool {
		return slices.Contains(tried, vm.Address) || !s.available(now, vm)
	})
	if len(candidates) == 0 {
		return netip.AddrPort{}, false
	}
	s.picks++
	first := xxhash.Sum64String(s.self.Address.String()) + s.picks
	best := candidates[first%uint64(len(candidates))]
	for _, vm := range candidates {
		if s.peer(vm.Address).pending < s.peer(best.Address).pending {
			best = vm
		}
	}
	s.peer(best.Address).pending++
	return best.Address, true
}
