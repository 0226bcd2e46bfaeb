package member

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/aggregator"
	"pistachioshore.dev/codec"
	"pistachioshore.dev/event"
	"pistachioshore.dev/fleet"
	"pistachioshore.dev/wire"
)

// bench is a VM whose peers and state a script plays.
type bench struct {
	member    *Member
	connected []string
	sent      []string
	members   []int
	crashes   []string
	queries   []string
	forgotten []string
	shown     []string
	revision  uint64
	away      bool
	following bool
	imported  []string
}

// Connect notes the VM.
func (b *bench) Connect(vm netip.AddrPort) {
	if !slices.Contains(b.connected, vm.String()) {
		b.connected = append(b.connected, vm.String())
	}
}

// Forget notes the VM.
func (b *bench) Forget(vm netip.AddrPort) {
	b.forgotten = append(b.forgotten, vm.String())
}

// Receive notes a message about a query.
func (b *bench) Receive(from netip.AddrPort, e *wire.Envelope) {
	b.queries = append(b.queries, e.Kind+" from "+from.String())
}

// ConnectionLost does nothing.
func (b *bench) ConnectionLost(netip.AddrPort) {}

// SetLimitShares notes the number of VMs.
func (b *bench) SetLimitShares(s aggregator.LimitShares) { b.members = append(b.members, s.Members) }

// RecordCrash notes the crash.
func (b *bench) RecordCrash(fp uint64, server string) bool {
	b.crashes = append(b.crashes, fmt.Sprintf("%d at %s", fp, server))
	return true
}

// Send notes the message.
func (b *bench) Send(vm netip.AddrPort, e *wire.Envelope) bool {
	b.sent = append(b.sent, e.Kind+" to "+vm.String())
	return true
}

// Cursors returns the revision of the state.
func (b *bench) Cursors() []uint64 { return []uint64{b.revision} }

// ReadsPlatform reports whether the store answers.
func (b *bench) ReadsPlatform() bool { return !b.away }

// SetFollowing notes whether the state comes from other VMs.
func (b *bench) SetFollowing(on bool) { b.following = on }

// Export returns the state.
func (b *bench) Export([]uint64) ([]byte, error) { return []byte("state"), nil }

// NeedsImport reports whether the store is away and the other VM knows more.
func (b *bench) NeedsImport(cursors []uint64) bool {
	return b.away && len(cursors) > 0 && cursors[0] > b.revision
}

// Import takes a state.
func (b *bench) Import(state []byte) error {
	b.imported = append(b.imported, string(state))
	return nil
}

// SendAll notes the messages.
func (b *bench) SendAll(vms []netip.AddrPort, e *wire.Envelope) {
	for _, vm := range vms {
		b.Send(vm, e)
	}
}

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// TestScripts guards how many VMs share the limits of upstreams, also while some are silent, and that a
// VM without the store asks one that knows more.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/member.txt", func(t *testing.T, d *datadriven.TestData) string {
		b := &bench{}
		self := fleet.Self{Address: netip.MustParseAddrPort("10.1.0.1:80"), Zone: "brest-nord", Incarnation: 1}
		b.member = New(self, 0.4, b, b, b, aggregator.New(aggregator.VM{Address: self.Address}), b, event.Discard{}, start)
		defer b.member.work.Stop()
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			b.run(t, line)
		}
		slices.Sort(b.sent)
		var out strings.Builder
		for _, line := range b.shown {
			fmt.Fprintln(&out, line)
		}
		fmt.Fprintf(&out, "forgotten %d queries %v\n", len(b.forgotten), b.queries)
		return out.String() + fmt.Sprintf("members %v\nconnected %v\nsent %v\nimported %v crashes %v\n",
			b.members, b.connected, slices.Compact(b.sent), b.imported, b.crashes)
	})
}

// run carries out one line: the time in ms, a command and its arguments.
func (b *bench) run(t *testing.T, line string) {
	f := strings.Fields(line)
	var ms int
	fmt.Sscan(f[0], &ms)
	now := start.Add(time.Duration(ms) * time.Millisecond)
	from := netip.MustParseAddrPort("10.1.0.2:80")
	if len(f) > 2 {
		from = netip.MustParseAddrPort("10.1.0." + f[2] + ":80")
	}
	switch f[1] {
	case "tick":
		b.member.tick(now)
	case "beat":
		b.member.heartbeat(now)
	case "seed":
		b.member.SetSeeds(now, []netip.AddrPort{from})
	case "hear":
		h := &wire.Heartbeat{VM: from, Zone: "angers-est", Incarnation: 5, Heard: []wire.HeardPeer{}}
		if len(f) > 3 {
			var revision uint64
			fmt.Sscan(f[3], &revision)
			h.Cursors = []uint64{revision}
		}
		b.member.handle(now, from, &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: h})
	case "many": // from, to, zone, cores
		var first, last int
		fmt.Sscan(f[2], &first)
		fmt.Sscan(f[3], &last)
		for n := first; n <= last; n++ {
			vm := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(n)}), 80)
			h := &wire.Heartbeat{VM: vm, Zone: f[4], Incarnation: 5, Heard: []wire.HeardPeer{}, Fed: len(f) > 6}
			fmt.Sscan(f[5], &h.Cores)
			b.member.handle(now, vm, &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: h})
		}
	case "know": // an aggregator, and the revision that it knows
		h := &wire.Heartbeat{VM: from, Zone: map[bool]string{true: "angers-est", false: "brest-nord"}[f[2] > "4"], Incarnation: 5, Cores: 0.8, Fed: true}
		h.Cursors = make([]uint64, 1)
		fmt.Sscan(f[3], &h.Cursors[0])
		b.member.handle(now, from, &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: h})
	case "show":
		b.shown = append(b.shown, fmt.Sprintf("at %d ms linked %v following %t", ms, b.member.links(), b.following))
	case "forward":
		b.member.Receive(from, &wire.Envelope{Kind: codec.KindQueryForward, QueryForward: &wire.QueryForward{}})
	case "changed":
		b.member.NotifyFollowers(now)
	case "away":
		b.away = true
	case "ask":
		b.member.handle(now, from, &wire.Envelope{Kind: codec.KindConfigRequest, ConfigRequest: &wire.ConfigRequest{}})
	case "state":
		b.member.handle(now, from, &wire.Envelope{Kind: codec.KindConfigValue, ConfigValue: &wire.ConfigValue{Value: []byte("theirs")}})
	case "crash":
		b.member.handle(now, from, &wire.Envelope{Kind: codec.KindCanaryReport, CanaryReport: &wire.CanaryReport{Fingerprint: 7, Upstream: "i-1"}})
	case "tell":
		b.member.BroadcastCrash(now, 9, "i-2")
	default:
		t.Fatalf("unknown command %q", f[1])
	}
}
