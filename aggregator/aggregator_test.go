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

// bench is a VM in zone a whose view of the tier a script plays.
type bench struct {
	roster *aggregator.MemberList
	table  *aggregator.Table
	picked []netip.AddrPort
}

// TestScripts guards that a small tier has no aggregators, that a large one agrees on them, that a VM keeps in
// touch with few others there, and that queries avoid aggregators that do not take them.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var b *bench
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				self := vm(strings.Fields(d.Input))
				b = &bench{roster: aggregator.NewMemberList(self, start), table: aggregator.New(self)}
				return ""
			}
			var out strings.Builder
			for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
				out.WriteString(b.run(t, line))
			}
			return out.String()
		})
	})
}

// vm reads number, zone and cores.
func vm(f []string) aggregator.VM {
	v := aggregator.VM{Address: address(f[0]), Zone: f[1]}
	fmt.Sscan(f[2], &v.Cores)
	return v
}

func address(number string) netip.AddrPort {
	return netip.MustParseAddrPort("10.1.0." + number + ":80")
}

// run carries out one line: the time in ms, a command and its arguments.
func (b *bench) run(t *testing.T, line string) string {
	f := strings.Fields(line)
	var ms int
	fmt.Sscan(f[0], &ms)
	now := start.Add(time.Duration(ms) * time.Millisecond)
	switch f[1] {
	case "hear": // number, zone, cores, known VMs of the zone
		beat := aggregator.Heartbeat{VM: vm(f[2:5]), Leaving: len(f) > 6}
		fmt.Sscan(f[5], &beat.ZoneMembers)
		b.roster.RecordHeartbeat(now, beat)
	case "many": // from, to, zone, cores
		var from, to int
		fmt.Sscan(f[2], &from)
		fmt.Sscan(f[3], &to)
		for n := from; n <= to; n++ {
			b.roster.RecordHeartbeat(now, aggregator.Heartbeat{VM: vm([]string{fmt.Sprint(n), f[4], f[5]})})
		}
	case "report":
		b.roster.RecordIndirectHeartbeat(vm(f[2:5]), now)
	case "leave":
		b.roster.Leave()
	case "show":
		return b.show(now)
	case "linked":
		return b.linked(now, f[2:])
	case "choose":
		b.table.SetAggregators(b.roster.Aggregators(now))
	case "pick":
		return b.pick(now)
	case "done":
		b.table.Done(address(f[2]))
	case "silent":
		b.table.MarkUnresponsive(now, address(f[2]))
	case "heard":
		b.table.MarkResponsive(address(f[2]))
	default:
		t.Fatalf("unknown command %q", f[1])
	}
	return ""
}

func (b *bench) show(now time.Time) string {
	var names []string
	for _, v := range b.roster.Aggregators(now) {
		names = append(names, fmt.Sprintf("%s in %s", v.Address, v.Zone))
	}
	return fmt.Sprintf("%d VMs, %d in the zone, aggregators %v\n", b.roster.Count(now), b.roster.ZoneCount(now), names)
}

func (b *bench) linked(now time.Time, numbers []string) string {
	var out []string
	for _, n := range numbers {
		out = append(out, fmt.Sprintf("%s %t", n, b.roster.ShouldConnect(now, address(n))))
	}
	return strings.Join(out, ", ") + "\n"
}

// pick passes one query on to as many aggregators as there are.
func (b *bench) pick(now time.Time) string {
	var tried []netip.AddrPort
	for {
		v, ok := b.table.Pick(now, tried)
		if !ok {
			break
		}
		tried = append(tried, v)
	}
	for _, v := range tried[min(1, len(tried)):] {
		b.table.Done(v)
	}
	return fmt.Sprintf("picks %v\n", tried)
}

// TestShares guards that the parts of all VMs together stay within a limit, in a small and in a large tier.
func TestShares(t *testing.T) {
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

// ExampleSelect shows that the VMs with the most processor of each zone are chosen.
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
