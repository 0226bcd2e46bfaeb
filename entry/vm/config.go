package vm

import (
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/codec"
	"pistachioshore.dev/fleet"
	"pistachioshore.dev/pool"
	"pistachioshore.dev/wire"
)

// Timeouts and intervals of platform reads and configuration requests.
const (
	watchTimeout   = 10 * time.Second       // how long the platform holds a watch request open
	pollInterval   = 30 * time.Second       // between reads if this VM does not watch
	readRetryDelay = 500 * time.Millisecond // after a failed read
	vmListInterval = time.Second            // between reads of the VM list

	// drainGrace is how long a drained VM keeps serving while the load balancer learns that it is not
	// ready.
	drainGrace = 2 * time.Second

	// peerConfigTimeout limits how long readiness waits after the start to hear from all listed VMs.
	peerConfigTimeout = 1500 * time.Millisecond

	// configRequestInterval is the least time between two requests for the same configuration.
	configRequestInterval = time.Second

	// smallTierSize is the number of peers below which every VM watches the platform. Their watches cost
	// it less than 2 reads per second.
	smallTierSize = 16
)

// watchConfig watches or polls the platform for new configurations until the VM stops.
func (vm *VM) watchConfig() {
	tag := ""
	var digest uint64
	for vm.ctx.Err() == nil {
		wait := watchTimeout
		if tag == "" || !vm.watchesPlatform() {
			wait = 0
		}
		published, err := vm.transports.Platform.Config(vm.ctx, tag, wait)
		if err != nil {
			vm.instrumentation.Counters.RecordFailedPlatformRead()
			pool.Sleep(vm.ctx, readRetryDelay)
			continue
		}
		tag = published.Tag
		if published.Changed {
			digest = codec.Digest(published.Value)
			vm.acceptConfig(published.Value)
		} else {
			vm.catalog.Confirm(digest, vm.now())
		}
		if !vm.watchesPlatform() {
			vm.waitForPoll(pollInterval)
		}
	}
}

// watchesPlatform reports whether this VM watches the platform instead of polling it. In a small tier
// every VM does, so that a change arrives within seconds as long as one of them reaches the platform.
func (vm *VM) watchesPlatform() bool {
	return len(vm.fleet.Peers(vm.now())) < smallTierSize || vm.fleet.WatchesPlatform()
}

// waitForPoll waits until the next poll is due or this VM becomes a watcher.
func (vm *VM) waitForPoll(d time.Duration) {
	until := vm.now().Add(d)
	for vm.now().Before(until) && !vm.watchesPlatform() {
		if !pool.Sleep(vm.ctx, readRetryDelay) {
			return
		}
	}
}

// pollVMList polls the platform's list of VMs until the VM stops.
func (vm *VM) pollVMList() {
	for vm.ctx.Err() == nil {
		list, err := vm.transports.Platform.VMs(vm.ctx)
		if err != nil {
			vm.instrumentation.Counters.RecordFailedPlatformRead()
		} else {
			vm.applyVMList(list)
		}
		if !pool.Sleep(vm.ctx, vmListInterval) {
			return
		}
	}
}

func (vm *VM) applyVMList(list wire.VMList) {
	listed := make([]fleet.ListedVM, 0, len(list.Vms))
	peers := make([]netip.AddrPort, 0, len(list.Vms))
	for _, v := range list.Vms {
		listed = append(listed, fleet.ListedVM{Address: v.Address, Zone: v.Zone, Leaving: v.State == "leaving"})
		if v.Address != vm.settings.Address {
			peers = append(peers, v.Address)
		}
	}
	before := vm.countZoneVMs()
	vm.fleet.SetListed(vm.now(), listed)
	vm.readiness.setPeers(peers)
	if cfg := vm.catalog.Current(); cfg != nil && vm.countZoneVMs() != before {
		vm.applyConfig()
	}
}

// acceptConfig validates a published configuration and applies it if it is newer than the current one.
func (vm *VM) acceptConfig(value []byte) {
	cfg, faults := codec.ParseConfig(value)
	if len(faults) > 0 {
		vm.instrumentation.Counters.RecordRejectedConfig(faults[0].Code)
		_ = level.Warn(vm.instrumentation.Log).Log("msg", "configuration refused", "fault", faults[0], "faults", len(faults))
		return
	}
	changed, err := vm.catalog.Accept(cfg, value, vm.now())
	if err != nil {
		vm.instrumentation.Counters.RecordRejectedConfig(codeOf(err))
		return
	}
	if !changed {
		return
	}
	vm.applyConfig()
	_ = level.Info(vm.instrumentation.Log).Log("msg", "configuration in force", "revision", cfg.Revision)
}

// applyConfig passes the current configuration to the tables. It reads the configuration under the
// lock, so that a worker that accepted an older one cannot overwrite a newer one.
func (vm *VM) applyConfig() {
	vm.readiness.applyMu.Lock()
	defer vm.readiness.applyMu.Unlock()
	cfg := vm.catalog.Current()
	now := vm.now()
	vm.admission.SetLimit(cfg.Limits.InFlight)
	vm.routeBudgets.applyConfig(cfg)
	vm.fleet.SetDrained(now, cfg.DrainedVMs)
	vm.fleet.SetUpstreams(now, configuredUpstreams(cfg))
	vm.applyActions(vm.upstreams.Configure(now, cfg, vm.countZoneVMs()))
	vm.readiness.setDrained(now, cfg.ZoneDrained(vm.settings.Zone) || cfg.VMDrained(vm.settings.Address))
}

func configuredUpstreams(cfg *catalog.Config) []fleet.Upstream {
	var ups []fleet.Upstream
	for _, g := range cfg.Groups {
		for _, s := range g.Services {
			for _, srv := range s.Servers {
				ups = append(ups, fleet.Upstream{Name: srv.Name, Zone: srv.Zone})
			}
		}
	}
	return ups
}

// countZoneVMs returns the number of VMs, including this one, that can own the upstreams of this zone.
func (vm *VM) countZoneVMs() int {
	n := 1
	for _, p := range vm.fleet.Peers(vm.now()) {
		if p.Zone == vm.settings.Zone && p.Address != vm.settings.Address {
			n++
		}
	}
	return n
}

// requestConfig requests a peer's configuration if it is newer than the current one of this VM.
func (vm *VM) requestConfig(peer netip.AddrPort, revision, digest uint64) {
	cfg := vm.catalog.Current()
	if revision == 0 || (cfg != nil && (revision < cfg.Revision || (revision == cfg.Revision && digest <= cfg.Digest))) {
		return
	}
	if !vm.readiness.mayRequestConfig(vm.now(), revision, digest) {
		return
	}
	m := &wire.ConfigRequest{}
	if cfg != nil {
		m.Revision, m.Digest = cfg.Revision, cfg.Digest
	}
	vm.transports.Peers.Send(peer, &wire.Envelope{Kind: codec.KindConfigRequest, ConfigRequest: m})
}

func (vm *VM) receiveConfigRequest(from netip.AddrPort) {
	if raw := vm.catalog.Raw(); raw != nil {
		vm.transports.Peers.Send(from, &wire.Envelope{Kind: codec.KindConfigValue, ConfigValue: &wire.ConfigValue{Value: raw}})
	}
}
