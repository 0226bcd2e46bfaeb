package aggregator_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/aggregator"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// scriptedVM is a VM whose view of the tier is driven by a test script.
type scriptedVM struct {
	members *aggregator.MemberList
	table   *aggregator.Table
	picked  []netip.AddrPort
}

// TestScripts guards against aggregators in a small tier, VMs of a large tier that select different aggregators
// or connect to too many VMs, queries sent to aggregators that do not accept them, and queries that all go to the same of
// several aggregators.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s *scriptedVM
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				self := parseVM(strings.Fields(d.Input))
				s = &scriptedVM{members: aggregator.NewMemberList(self, start), table: aggregator.New(self)}
				return ""
			}
			var out strings.Builder
			for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
				out.WriteString(s.run(t, line))
			}
			return out.String()
		})
	})
}

// parseVM parses the number, zone and cores of a VM.
func parseVM(f []string) aggregator.VM {
	v := aggregator.VM{Address: address(f[0]), Zone: f[1]}
	fmt.Sscan(f[2], &v.Cores)
	return v
}

func address(number string) netip.AddrPort {
	return netip.MustParseAddrPort("10.1.0." + number + ":80")
}

// run executes one script line: the time in ms, a command and its arguments.
func (s *scriptedVM) run(t *testing.T, line string) string {
	f := strings.Fields(line)
	var ms int
	fmt.Sscan(f[0], &ms)
	now := start.Add(time.Duration(ms) * time.Millisecond)
	switch f[1] {
	case "hear": // number, zone, cores, VMs known in its zone, "leaving" if it leaves
		heartbeat := aggregator.Heartbeat{VM: parseVM(f[2:5]), Leaving: len(f) > 6}
		fmt.Sscan(f[5], &heartbeat.ZoneMembers)
		s.members.RecordHeartbeat(now, heartbeat)
	case "discover": // number, incarnation
		heartbeat := aggregator.Heartbeat{VM: parseVM([]string{f[2], "angers-est", "0.2"})}
		fmt.Sscan(f[3], &heartbeat.Incarnation)
		return fmt.Sprintln("new", s.members.RecordHeartbeat(now, heartbeat))
	case "many": // from, to, zone, cores
		var from, to int
		fmt.Sscan(f[2], &from)
		fmt.Sscan(f[3], &to)
		for n := from; n <= to; n++ {
			s.members.RecordHeartbeat(now, aggregator.Heartbeat{VM: parseVM([]string{fmt.Sprint(n), f[4], f[5]})})
		}
	case "report":
		s.members.RecordIndirectHeartbeat(parseVM(f[2:5]), now)
	case "leave":
		s.members.Leave()
	case "show":
		return s.show(now)
	case "linked":
		return s.shouldConnect(now, f[2:])
	case "choose":
		s.table.SetAggregators(s.members.AggregatorLinks(now))
	case "pick": // zone
		return s.pick(now, f[2])
	case "turn": // zone, for a query that is answered before the next one
		v, _ := s.table.Pick(now, f[2], nil)
		s.table.Done(v)
		return fmt.Sprintln("picks", v)
	case "zones":
		return fmt.Sprintf("zones %v, fans out %t\n", s.table.Zones(now), s.table.FansOut())
	case "primary": // number and zone of a VM
		v, _ := s.members.PrimaryAggregator(now, aggregator.VM{Address: address(f[2]), Zone: f[3]})
		return fmt.Sprintln("primary", v)
	case "done":
		s.table.Done(address(f[2]))
	case "silent":
		s.table.MarkUnresponsive(now, address(f[2]))
	case "heard":
		s.table.MarkResponsive(address(f[2]))
	default:
		t.Fatalf("unknown command %q", f[1])
	}
	return ""
}

func (s *scriptedVM) show(now time.Time) string {
	var names []string
	for _, v := range s.members.Aggregators(now) {
		names = append(names, fmt.Sprintf("%s in %s", v.Address, v.Zone))
	}
	return fmt.Sprintf("%d VMs, %d in the zone, aggregators %v\n", s.members.Count(now), s.members.ZoneCount(now), names)
}

func (s *scriptedVM) shouldConnect(now time.Time, numbers []string) string {
	var out []string
	for _, n := range numbers {
		out = append(out, fmt.Sprintf("%s %t", n, s.members.ShouldConnect(now, address(n))))
	}
	return strings.Join(out, ", ") + "\n"
}

// pick forwards one query to each available aggregator of a zone in turn and leaves it pending at the first.
func (s *scriptedVM) pick(now time.Time, zone string) string {
	var tried []netip.AddrPort
	for {
		v, ok := s.table.Pick(now, zone, tried)
		if !ok {
			break
		}
		tried = append(tried, v)
	}
	for _, v := range tried[min(1, len(tried)):] {
		s.table.Done(v)
	}
	return fmt.Sprintf("picks %v\n", tried)
}

// TestLimitShares guards against VMs that together exceed a limit, in small and in large tiers.
func TestLimitShares(t *testing.T) {
	for _, c := range []struct{ members, aggregators int }{{1, 0}, {8, 0}, {91, 6}, {9000, 38}} {
		s := aggregator.LimitShares{Members: c.members, Aggregators: c.aggregators}
		all := float64(c.members-c.aggregators) * s.ShardedQuery()
		s.IsAggregator = true
		all += float64(c.aggregators) * s.ShardedQuery()
		if all > 1.0000001 {
			t.Errorf("%d VMs with %d aggregators: got %.3f of the limit, want at most 1", c.members, c.aggregators, all)
		}
	}
}

// TestRequestShares guards against VMs that together exceed the request limit of an upstream, wherever it is, in small and
// in large tiers.
func TestRequestShares(t *testing.T) {
	for _, c := range []struct{ members, zoneMembers, aggregators, zoneAggregators int }{
		{1, 1, 0, 0}, {6, 1, 0, 0}, {6, 3, 0, 0}, {8, 8, 0, 0}, {91, 31, 6, 2}, {91, 31, 2, 2}, {9000, 500, 38, 2},
	} {
		s := aggregator.LimitShares{Members: c.members, ZoneMembers: c.zoneMembers, Aggregators: c.aggregators, ZoneAggregators: c.zoneAggregators}
		for _, sharded := range []bool{false, true} {
			s.IsAggregator = false
			sameZone, otherZone := s.Requests(sharded)
			all := float64(c.zoneMembers-c.zoneAggregators)*sameZone + float64(c.members-c.zoneMembers-c.aggregators+c.zoneAggregators)*otherZone
			s.IsAggregator = true
			sameZone, otherZone = s.Requests(sharded)
			all += float64(c.zoneAggregators)*sameZone + float64(c.aggregators-c.zoneAggregators)*otherZone
			if all > 1.0000001 {
				t.Errorf("%+v, sharded %t: got %.3f of the limit, want at most 1", c, sharded, all)
			}
		}
	}
}

// ExampleSelect shows that the VMs with the most cores in each zone are selected.
func ExampleSelect() {
	vms := []aggregator.VM{
		{Address: netip.MustParseAddrPort("10.1.0.1:80"), Zone: "brest-nord", Cores: 0.2},
		{Address: netip.MustParseAddrPort("10.1.0.2:80"), Zone: "brest-nord", Cores: 0.8},
		{Address: netip.MustParseAddrPort("10.2.0.1:80"), Zone: "angers-est", Cores: 0.2},
	}
	for _, vm := range aggregator.Select(vms, func(string) int { return 1 }) {
		fmt.Println(vm.Zone, vm.Address)
	}
	// Output:
	// brest-nord 10.1.0.2:80
	// angers-est 10.2.0.1:80
}
