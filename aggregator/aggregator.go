// Package aggregator selects the VMs of a large tier that fan out queries to the shards on behalf of the others.
//
// A shard server handles only a few dozen connections, so only a few VMs can keep connections open to every
// server. In a large tier a limited number of aggregators fan out queries, and the other VMs forward their queries to
// them. Aggregators are in the availability zones that host replicas of the shards, because a query that crosses zones
// once moves a fraction of the bytes of its sub-requests. In a small tier every VM in those zones fans out queries.
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
	Aggregators  int  // aggregators in the tier; 0 if every VM fans out its own queries
	IsAggregator bool // this VM is an aggregator
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

// containsVM reports whether the VM with the given address is in the list.
func containsVM(list []VM, address netip.AddrPort) bool {
	return slices.ContainsFunc(list, func(vm VM) bool { return vm.Address == address })
}

// Table holds the aggregators to which a VM can forward queries. It is safe for concurrent use.
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

// SetAggregators replaces the aggregators and drops the state of those that are no longer listed.
func (t *Table) SetAggregators(aggregators []VM) {
	t.state.With(func(s *tableState) {
		s.aggregators = slices.Clone(aggregators)
		for vm := range s.peers {
			if !containsVM(aggregators, vm) {
				delete(s.peers, vm)
			}
		}
	})
}

// Pick selects the aggregator for a query, skipping those in tried, and counts the query as pending there. The
// caller must call Done exactly once when the query has ended. Pick returns false if this VM should fan out the
// query itself.
func (t *Table) Pick(now time.Time, tried []netip.AddrPort) (netip.AddrPort, bool) {
	return table.WithResults(t.state, func(s *tableState) (netip.AddrPort, bool) { return s.pick(now, tried) })
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

// pick prefers aggregators in this VM's zone, and among those the one with the fewest pending queries. Equally loaded
// ones take turns, starting at one that depends on this VM, because a VM seldom has more than one query pending.
func (s *tableState) pick(now time.Time, tried []netip.AddrPort) (netip.AddrPort, bool) {
	if len(s.aggregators) == 0 || containsVM(s.aggregators, s.self.Address) {
		return netip.AddrPort{}, false
	}
	var best VM
	s.picks++
	first := int((xxhash.Sum64String(s.self.Address.String()) + s.picks) % uint64(len(s.aggregators)))
	for i := range s.aggregators {
		vm := s.aggregators[(first+i)%len(s.aggregators)]
		if slices.Contains(tried, vm.Address) || now.Before(s.peer(vm.Address).backoffUntil) {
			continue
		}
		if !best.Address.IsValid() || s.preferred(vm, best) {
			best = vm
		}
	}
	if !best.Address.IsValid() {
		return netip.AddrPort{}, false
	}
	s.peer(best.Address).pending++
	return best.Address, true
}

func (s *tableState) preferred(a, b VM) bool {
	if sameZone := a.Zone == s.self.Zone; sameZone != (b.Zone == s.self.Zone) {
		return sameZone
	}
	return s.peer(a.Address).pending < s.peer(b.Address).pending
}
