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
	"pistachioshore.dev/quarantine"
	"pistachioshore.dev/route"
	"pistachioshore.dev/wire"
)

// scriptedVM is a VM whose peers and platform state are simulated by a test script.
type scriptedVM struct {
	member       *Member
	connected    []string
	sent         []string
	members      []int
	crashes      []string
	draining     []string
	silent       []string // zones that do not answer this VM
	reported     []string // zones that do not answer its primary aggregator
	leaving      []route.Server
	known        []quarantine.Crash // crashes that this VM knows of
	queries      []string
	disconnected []string
	shown        []string
	revision     uint64
	era          uint64
	platformDown bool
	following    bool
	followed     bool
	now          time.Time     // of the current line
	proofAge     time.Duration // of the own proof
	asOf         time.Time     // of the last confirmation by another VM
	imported     []string
	confirmed    []uint64 // cursors that VMs which read the platform have stated
}

// Connect records the VM.
func (s *scriptedVM) Connect(vm netip.AddrPort) {
	if !slices.Contains(s.connected, vm.String()) {
		s.connected = append(s.connected, vm.String())
	}
}

// Disconnect records the VM.
func (s *scriptedVM) Disconnect(vm netip.AddrPort) {
	s.disconnected = append(s.disconnected, vm.String())
}

// Receive records a message about a query.
func (s *scriptedVM) Receive(from netip.AddrPort, e *wire.Envelope) {
	s.queries = append(s.queries, e.Kind+" from "+from.String())
}

// ConnectionLost does nothing.
func (s *scriptedVM) ConnectionLost(netip.AddrPort) {}

// SetLimitShares records the number of VMs.
func (s *scriptedVM) SetLimitShares(shares aggregator.LimitShares) {
	s.members = append(s.members, shares.Members)
}

// RecordCrash records the crash and reports it as new.
func (s *scriptedVM) RecordCrash(c quarantine.Crash) bool {
	s.crashes = append(s.crashes, fmt.Sprintf("%d at %s", c.Fingerprint, c.Upstream))
	return true
}

// RecordDraining records the upstream and reports whether it is new.
func (s *scriptedVM) RecordDraining(server string, startedAt time.Time) bool {
	text := fmt.Sprintf("%s since %d", server, startedAt.UnixMilli())
	if slices.Contains(s.draining, text) {
		return false
	}
	s.draining = append(s.draining, text)
	return true
}

// SilentZones returns the zones of the script.
func (s *scriptedVM) SilentZones(time.Time) []string { return s.silent }

// SetReportedZones records the zones.
func (s *scriptedVM) SetReportedZones(zones []string) {
	if !slices.Equal(zones, s.reported) {
		s.shown = append(s.shown, fmt.Sprintf("reported zones %v", zones))
	}
	s.reported = zones
}

// SaidDraining returns the upstreams of the script.
func (s *scriptedVM) SaidDraining() []route.Server { return s.leaving }

// Crashes returns the crashes of the script.
func (s *scriptedVM) Crashes(time.Time) []quarantine.Crash { return s.known }

// Send records the message.
func (s *scriptedVM) Send(vm netip.AddrPort, e *wire.Envelope) bool {
	text := e.Kind
	if e.ConfigValue != nil {
		text += fmt.Sprintf(" %q", e.ConfigValue.Value)
	}
	s.sent = append(s.sent, text+" to "+vm.String())
	return true
}

// Cursors returns the revision of the state.
func (s *scriptedVM) Cursors() []Cursor { return []Cursor{{s.era, s.revision}} }

// ProofAge returns the age of the script, if the platform is available.
func (s *scriptedVM) ProofAge() (time.Duration, bool) { return s.proofAge, !s.platformDown }

// BootClock returns the time of the script.
func (s *scriptedVM) BootClock() time.Duration { return s.now.Sub(start) }

// SetFollowing records whether the state comes from other VMs.
func (s *scriptedVM) SetFollowing(on bool) { s.following = on }

// Export returns a fixed state, of two pages for VMs that read these.
func (s *scriptedVM) Export(_ []Cursor, pages bool) ([][]byte, error) {
	if pages {
		return [][]byte{[]byte("state 1"), []byte("state 2")}, nil
	}
	return [][]byte{[]byte("state")}, nil
}

// NeedsImport reports whether the platform is unavailable and the other VM has a newer state.
func (s *scriptedVM) NeedsImport(cursors []Cursor) bool {
	return s.platformDown && len(cursors) > 0 && cursors[0].Compare(s.Cursors()[0]) > 0
}

// ConfirmCurrent records the cursors, and as of when they were known.
func (s *scriptedVM) ConfirmCurrent(_ time.Time, asOf time.Duration, cursors []Cursor) {
	s.asOf = start.Add(asOf)
	for _, c := range cursors {
		s.confirmed = append(s.confirmed, c.Revision)
	}
}

// IsConfirmed reports whether the last confirmation is less than 2.5 s old.
func (s *scriptedVM) IsConfirmed() bool { return s.now.Sub(s.asOf) <= 2500*time.Millisecond }

// SetFollowed records whether others follow the VM.
func (s *scriptedVM) SetFollowed(on bool) { s.followed = on }

// Import records the state. A page whose text ends with "..." is not the last one.
func (s *scriptedVM) Import(state []byte) (bool, error) {
	s.imported = append(s.imported, string(state))
	return !strings.HasSuffix(string(state), "..."), nil
}

// SendAll records the messages.
func (s *scriptedVM) SendAll(vms []netip.AddrPort, e *wire.Envelope) {
	for _, vm := range vms {
		s.Send(vm, e)
	}
}

// clockOffset is the difference between the boot clocks of the other VMs and the one of this VM.
const clockOffset = -40 * time.Hour

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// TestScripts guards against a wrong number of VMs that share the limits of upstreams, in particular while some send
// no heartbeats, against the state of a VM that itself follows others being taken for current, against a VM that does not request newer state from others while it cannot read the platform, and
// against VMs that take themselves for aggregators for good after those of their zone have restarted, against reports of draining upstreams that do not reach the other VMs, those that were not connected included, or
// circulate without end.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/member.txt", func(t *testing.T, d *datadriven.TestData) string {
		s := &scriptedVM{}
		self := fleet.Self{Address: netip.MustParseAddrPort("10.1.0.1:80"), Zone: "brest-nord", Incarnation: 1}
		s.member = New(self, 0.4, s, s, s, aggregator.New(aggregator.VM{Address: self.Address}), s, event.Discard{}, start)
		defer s.member.worker.Stop()
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			s.run(t, line)
		}
		slices.Sort(s.sent)
		var out strings.Builder
		for _, line := range s.shown {
			fmt.Fprintln(&out, line)
		}
		fmt.Fprintf(&out, "forgotten %d queries %v\n", len(s.disconnected), s.queries)
		if len(s.draining) > 0 {
			fmt.Fprintf(&out, "draining %v\n", s.draining)
		}
		return out.String() + fmt.Sprintf("members %v\nconnected %v\nsent %v\nimported %v crashes %v\n",
			s.members, s.connected, slices.Compact(s.sent), s.imported, s.crashes)
	})
}

// run executes one script line: the time in ms, a command and its arguments.
func (s *scriptedVM) run(t *testing.T, line string) {
	f := strings.Fields(line)
	var ms int
	fmt.Sscan(f[0], &ms)
	now := start.Add(time.Duration(ms) * time.Millisecond)
	s.now = now
	from := netip.MustParseAddrPort("10.1.0.2:80")
	if len(f) > 2 {
		from = netip.MustParseAddrPort("10.1.0." + f[2] + ":80")
	}
	switch f[1] {
	case "tick":
		s.member.tick(now)
	case "beat":
		s.member.sendHeartbeats(now)
	case "seed":
		s.member.SetSeeds(now, []netip.AddrPort{from})
	case "hear":
		h := &wire.Heartbeat{VM: from, Zone: "angers-est", Incarnation: 5, Heard: []wire.HeardPeer{}}
		if len(f) > 3 {
			var revision uint64
			fmt.Sscan(f[3], &revision)
			h.Cursors = []uint64{revision}
		}
		for _, text := range f[min(len(f), 4):] { // eras
			var era uint64
			fmt.Sscan(text, &era)
			h.Eras = append(h.Eras, era)
		}
		s.member.handle(now, from, &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: h})
	case "connected":
		s.member.introduce(now, from)
	case "many": // from, to, zone, cores
		var first, last int
		fmt.Sscan(f[2], &first)
		fmt.Sscan(f[3], &last)
		for n := first; n <= last; n++ {
			vm := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(n)}), 80)
			h := &wire.Heartbeat{VM: vm, Zone: f[4], Incarnation: 5, Heard: []wire.HeardPeer{}, Fed: len(f) > 6, SentAt: s.BootClock() + clockOffset}
			fmt.Sscan(f[5], &h.Cores)
			s.member.handle(now, vm, &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: h})
		}
	case "know": // an aggregator and the revision of its state
		h := &wire.Heartbeat{VM: from, Zone: map[bool]string{true: "angers-est", false: "brest-nord"}[f[2] > "4"], Incarnation: 5, Cores: 0.8, Fed: true, SentAt: s.BootClock() + clockOffset}
		h.Cursors = make([]uint64, 1)
		fmt.Sscan(f[3], &h.Cursors[0])
		s.member.handle(now, from, &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: h})
	case "proof": // an aggregator, the age of its proof in ms and, if the heartbeat was held up, for how many ms
		var ageMs, lateMs int
		fmt.Sscan(f[3], &ageMs)
		if len(f) > 4 {
			fmt.Sscan(f[4], &lateMs)
		}
		h := &wire.Heartbeat{VM: from, Zone: "brest-nord", Incarnation: 5, Cores: 0.8, Heard: []wire.HeardPeer{}, Fed: true, Cursors: []uint64{7}}
		h.StateAge = time.Duration(ageMs) * time.Millisecond
		h.SentAt = s.BootClock() - time.Duration(lateMs)*time.Millisecond + clockOffset
		s.member.handle(now, from, &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: h})
	case "unproven": // the platform no longer answers an aggregator, which says so
		h := &wire.Heartbeat{VM: from, Zone: "brest-nord", Incarnation: 5, Cores: 0.8, Heard: []wire.HeardPeer{}, SentAt: s.BootClock() + clockOffset}
		s.member.handle(now, from, &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: h})
	case "earlier": // an aggregator of the earlier version, which states no age
		h := &wire.Heartbeat{VM: from, Zone: "brest-nord", Incarnation: 5, Cores: 0.8, Heard: []wire.HeardPeer{}, Fed: true, Cursors: []uint64{7}}
		s.member.handle(now, from, &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: h})
	case "as-of": // as of when the own state is confirmed
		s.shown = append(s.shown, fmt.Sprintf("at %d ms confirmed as of %d ms, following %t", ms, s.asOf.Sub(start).Milliseconds(), s.following))
	case "heartbeat": // shows the own proof in a heartbeat
		h := s.member.newHeartbeat(now)
		s.shown = append(s.shown, fmt.Sprintf("heartbeat at %v fed %t age %v", h.SentAt, h.Fed, h.StateAge))
	case "aged": // the own proof of VM 1, in ms
		var ageMs int
		fmt.Sscan(f[3], &ageMs)
		s.proofAge = time.Duration(ageMs) * time.Millisecond
	case "claims": // a VM that takes itself for an aggregator
		h := &wire.Heartbeat{VM: from, Zone: "angers-est", Incarnation: 5, Cores: 0.2, Heard: []wire.HeardPeer{}}
		h.Aggregators = []wire.TierMember{{VM: from, Zone: h.Zone, Cores: h.Cores}}
		s.member.handle(now, from, &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: h})
	case "show":
		s.shown = append(s.shown, fmt.Sprintf("at %d ms linked %v following %t followed %t", ms, s.member.connectedVMs(), s.following, s.followed))
	case "confirmed":
		s.shown = append(s.shown, fmt.Sprintf("at %d ms confirmed %v", ms, s.confirmed))
	case "forward":
		s.member.Receive(from, &wire.Envelope{Kind: codec.KindQueryForward, QueryForward: &wire.QueryForward{}})
	case "changed":
		s.member.NotifyFollowers(now)
	case "away":
		s.platformDown = true
	case "era": // of the own state, with its revision
		fmt.Sscan(f[2], &s.era)
		fmt.Sscan(f[3], &s.revision)
	case "eras": // that the messages to other VMs state
		h := s.member.newHeartbeat(now)
		s.shown = append(s.shown, fmt.Sprintf("heartbeat cursors %v eras %v", h.Cursors, h.Eras))
	case "ask": // for pages, unless the VM is of the earlier version
		r := &wire.ConfigRequest{Pages: f[len(f)-1] != "earlier"}
		s.member.handle(now, from, &wire.Envelope{Kind: codec.KindConfigRequest, ConfigRequest: r})
	case "asked": // shows the requests for the state of other VMs so far
		s.shown = append(s.shown, fmt.Sprintf("at %d ms requests %v", ms, slices.DeleteFunc(slices.Clone(s.sent), func(text string) bool {
			return !strings.HasPrefix(text, codec.KindConfigRequest)
		})))
	case "state": // a page, which is not the last one if its text ends with "..."
		page := "theirs"
		if len(f) > 3 {
			page = f[3]
		}
		s.member.handle(now, from, &wire.Envelope{Kind: codec.KindConfigValue, ConfigValue: &wire.ConfigValue{Value: []byte(page)}})
	case "crash":
		s.member.handle(now, from, &wire.Envelope{Kind: codec.KindCanaryReport, CanaryReport: &wire.CanaryReport{Fingerprint: 7, Upstream: "i-1"}})
	case "drain": // reported by another VM
		s.member.handle(now, from, &wire.Envelope{Kind: codec.KindDraining, UpstreamDraining: &wire.UpstreamDraining{Upstream: "i-3", StartedAt: time.UnixMilli(5)}})
	case "knows": // that an upstream drains
		s.leaving = append(s.leaving, route.Server{ID: "i-5", StartedAt: time.UnixMilli(7)})
	case "saw": // an upstream crash
		s.known = append(s.known, quarantine.Crash{Fingerprint: 8, Upstream: "i-6"})
	case "cut": // an aggregator reports unreachable zones
		h := &wire.Heartbeat{VM: from, Zone: "brest-nord", Incarnation: 5, Cores: 0.8, Heard: []wire.HeardPeer{}, UnreachableZones: f[3:]}
		s.member.handle(now, from, &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: h})
	case "leaving": // seen by this VM
		s.member.BroadcastDraining("i-4", time.UnixMilli(6))
	case "tell":
		s.member.BroadcastCrash(now, quarantine.Crash{Fingerprint: 9, Upstream: "i-2"})
	default:
		t.Fatalf("unknown command %q", f[1])
	}
}
