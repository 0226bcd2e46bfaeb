package vm

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pistachioshore.dev/fleet"
	"pistachioshore.dev/quarantine"
	"pistachioshore.dev/wire"
)

// testPeers delivers messages between VMs at once.
type testPeers struct {
	self   netip.AddrPort
	vms    map[netip.AddrPort]*VM
	silent *netip.AddrPort // VM whose replies to canary requests do not arrive in time
}

func (p *testPeers) Connect(netip.AddrPort)    {}
func (p *testPeers) Disconnect(netip.AddrPort) {}

func (p *testPeers) Send(to netip.AddrPort, m *wire.Envelope) bool {
	if m.CanaryVerdict == nil || m.CanaryVerdict.ID == 0 || p.self != *p.silent {
		p.vms[to].handleMessage(p.self, m)
	}
	return true
}

func (p *testPeers) SendAll(vms []netip.AddrPort, m *wire.Envelope) {
	for _, vm := range vms {
		p.Send(vm, m)
	}
}

// TestLateCoordinator guards against a canary request that a second coordinator, or the VM itself, allows because the reply
// of the first coordinator is late, while the first one has allowed the last one: both may crash an upstream.
func TestLateCoordinator(t *testing.T) {
	vms := map[netip.AddrPort]*VM{}
	var silent netip.AddrPort
	var listed []fleet.ListedVM
	for _, text := range []string{"10.1.0.1:80", "10.1.0.2:80", "10.1.0.3:80", "10.1.0.4:80"} {
		address := netip.MustParseAddrPort(text)
		vms[address] = New(Settings{Address: address, Zone: "a"}, Transports{Peers: &testPeers{address, vms, &silent}}, Instrumentation{}, Policies{})
		listed = append(listed, fleet.ListedVM{Address: address, Zone: "a"})
	}
	now := time.Now()
	for _, vm := range vms {
		vm.fleet.SetListed(now, listed)
	}
	for _, from := range vms {
		for _, to := range vms {
			if to != from {
				to.fleet.ReceiveHeartbeat(now, from.fleet.NextHeartbeat(now, 1, 1, true))
			}
		}
	}
	for _, vm := range vms {
		vm.fleet.Tick(now)
	}
	const fp = 7
	ranked := vms[listed[0].Address].fleet.RankVMs(fp)
	if len(ranked) != len(vms) {
		t.Fatalf("got %d ranked VMs, want %d", len(ranked), len(vms))
	}
	slices.Reverse(ranked)
	last, first := vms[ranked[0]], ranked[len(ranked)-1]
	last.reportRun(fp, quarantine.Crashed, "u1")
	ask := func() quarantine.Verdict {
		return last.askCoordinator(t.Context(), fp, time.Now().Add(400*time.Millisecond)).Verdict
	}
	if got := ask(); got != quarantine.Canary {
		t.Errorf("got %v for the first request after a crash, want a canary request", got)
	}
	silent = first
	if got := ask(); got != quarantine.Wait {
		t.Errorf("got %v from the second coordinator, want wait while the canary request is in flight", got)
	}
	if got := last.decide(fp, time.Now().Add(400*time.Millisecond)).Verdict; got != quarantine.Wait {
		t.Errorf("got %v from the VM itself, want wait while the canary request is in flight", got)
	}
}
