// Package aggregator decides which VMs of a large tier fan queries out to the shards for the others.
//
// A server of a shard bears a few dozen connections, so that only a few VMs can keep some open to each of
// them. In a small tier every VM does; in a large one each availability zone has a fixed number of
// aggregators, to which the other VMs pass their queries on.
package aggregator

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"pistachioshore.dev/table"
)

// VM is a VM that may become an aggregator.
type VM struct {
	Address netip.AddrPort
	Zone    string
	Cores   float64 // share of the processor that the VM may use
}

// LimitShares tell how many VMs share the limits of upstreams.
type LimitShares struct {
	Members      int // VMs of the tier, at least 1
	Aggregators  int // VMs that fan queries out for the others; 0 in a small tier, where all do
	IsAggregator bool
}

// SingleUpstream returns the part of a limit that requests to one upstream may use at this VM.
func (s LimitShares) SingleUpstream() float64 {
	return 1 / float64(max(s.Members, 1))
}

// ShardedQuery returns the part of a limit that queries over shards may use at this VM. Aggregators leave some
// of it to VMs that find none and fan a query out themselves.
func (s LimitShares) ShardedQuery() float64 {
	switch {
	case s.Aggregators == 0:
		return s.SingleUpstream()
	case s.IsAggregator:
		return aggregatorsPart / float64(s.Aggregators)
	default:
		return (1 - aggregatorsPart) * s.SingleUpstream()
	}
}

// ColdStartVMs returns the number of VMs that share what an upstream in a cold start bears: in a large tier the
// aggregators, because parts of one request a second are of no use.
func (s LimitShares) ColdStartVMs() int {
	if s.IsAggregator {
		return s.Aggregators
	}
	return max(s.Members, 1)
}

// Select returns the aggregators of a tier: in each zone as many VMs as seats tells, those with the most
// processor first, by address where they are equal. VMs that know the same tier choose the same.
func Select(vms []VM, quota func(zone string) int) []VM {
	sorted := slices.SortedFunc(slices.Values(vms), func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), a.Address.Compare(b.Address))
	})
	taken := map[string]int{}
	return slices.DeleteFunc(sorted, func(vm VM) bool {
		taken[vm.Zone]++
		return taken[vm.Zone] > quota(vm.Zone)
	})
}

// Table holds the aggregators that one VM may pass queries on to; it is safe for concurrent use.
type Table struct {
	state *table.Guarded[state]
}

type state struct {
	self   VM
	chosen []VM
	peers  map[netip.AddrPort]*peer
}

// peer is what is known of one aggregator.
type peer struct {
	pending      int // queries passed on and not answered
	silences     int // in a row
	avoidedUntil time.Time
}

// New returns a table without aggregators, with which a VM fans all its queries out itself.
func New(self VM) *Table {
	return &Table{state: table.NewGuarded(table.RankPending, state{self: self, peers: map[netip.AddrPort]*peer{}})}
}

// SetAggregators replaces the aggregators.
func (t *Table) SetAggregators(chosen []VM) {
	t.state.With(func(s *state) {
		s.chosen = slices.Clone(chosen)
		for vm := range s.peers {
			if !slices.ContainsFunc(chosen, func(c VM) bool { return c.Address == vm }) {
				delete(s.peers, vm)
			}
		}
	})
}

// Pick returns the aggregator that a query is passed on to, and counts the query as pending there; Done has
// to be called once. It returns false if this VM should fan the query out itself. Those in tried are left out.
func (t *Table) Pick(now time.Time, tried []netip.AddrPort) (netip.AddrPort, bool) {
	return table.WithResults(t.state, func(s *state) (netip.AddrPort, bool) { return s.pick(now, tried) })
}

// Done ends a query that Pick counted.
func (t *Table) Done(vm netip.AddrPort) {
	t.state.With(func(s *state) {
		if p, ok := s.peers[vm]; ok {
			p.pending = max(p.pending-1, 0)
		}
	})
}

// MarkUnresponsive notes that the aggregator did not take a query in time; it is avoided for a growing time.
func (t *Table) MarkUnresponsive(now time.Time, vm netip.AddrPort) {
	t.state.With(func(s *state) {
		p := s.peer(vm)
		p.avoidedUntil = now.Add(min(avoidFirst<<min(p.silences, 5), avoidLongest))
		p.silences++
	})
}

// MarkResponsive notes that the aggregator has answered.
func (t *Table) MarkResponsive(vm netip.AddrPort) {
	t.state.With(func(s *state) {
		if p, ok := s.peers[vm]; ok {
			p.silences, p.avoidedUntil = 0, time.Time{}
		}
	})
}

func (s *state) peer(vm netip.AddrPort) *peer {
	p, ok := s.peers[vm]
	if !ok {
		p = &peer{}
		s.peers[vm] = p
	}
	return p
}

// pick prefers aggregators of this VM's own zone, and among them the one with the fewest pending queries.
func (s *state) pick(now time.Time, tried []netip.AddrPort) (netip.AddrPort, bool) {
	var best VM
	for _, vm := range s.chosen {
		if vm.Address == s.self.Address {
			return netip.AddrPort{}, false
		}
		if slices.Contains(tried, vm.Address) || now.Before(s.peer(vm.Address).avoidedUntil) {
			continue
		}
		if !best.Address.IsValid() || s.before(vm, best) {
			best = vm
		}
	}
	if !best.Address.IsValid() {
		return netip.AddrPort{}, false
	}
	s.peer(best.Address).pending++
	return best.Address, true
}

func (s *state) before(a, b VM) bool {
	if home := a.Zone == s.self.Zone; home != (b.Zone == s.self.Zone) {
		return home
	}
	return s.peer(a.Address).pending < s.peer(b.Address).pending
}
