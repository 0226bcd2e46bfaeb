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
	watchTime  = 10 * time.Second       // how long the platform holds a watch request open
	pollTime   = 30 * time.Second       // between reads if this VM does not watch
	retryDelay = 500 * time.Millisecond // after a failed read
	vmListTime = time.Second            // between reads of the VM list
	askAgain   = time.Second            // between two requests for the same configuration

	// drainGrace is how long a drained VM keeps serving while the load balancer learns that it is not ready.
	drainGrace = 2 * time.Second

	// peerAskTime limits how long readiness waits after the start to hear from all listed VMs.
	peerAskTime = 1500 * time.Millisecond

	// smallTier is the number of VMs below which every VM watches the platform. Their watches cost it
	// less than 2 reads per second.
	smallTier = 16
)

// watchConfig watches or polls the platform for new configurations until the VM stops.
func (vm *VM) watchConfig() {
	tag := ""
	var digest uint64
	for vm.ctx.Err() == nil {
		wait := watchTime
		if tag == "" || !vm.watches() {
			wait = 0
		}
		published, err := vm.to.Platform.Config(vm.ctx, tag, wait)
		if err != nil {
			vm.observe.Counters.PlatformReadFailed()
			pool.Sleep(vm.ctx, retryDelay)
			continue
		}
		tag = published.Tag
		if published.Changed {
			digest = codec.Digest(published.Value)
			vm.acceptConfig(published.Value)
		} else {
			vm.catalog.Confirm(digest, vm.now())
		}
		if !vm.watches() {
			vm.waitForWatch(pollTime)
		}
	}
}

// watches reports whether this VM watches the platform instead of polling it. In a small tier every
// VM does, so that a change arrives within seconds as long as one of them reaches the platform.
func (vm *VM) watches() bool {
	return len(vm.fleet.Peers(vm.now())) < smallTier || vm.fleet.WatchesPlatform()
}

// waitForWatch waits until the next poll is due or this VM becomes a watcher.
func (vm *VM) waitForWatch(d time.Duration) {
	until := vm.now().Add(d)
	for vm.now().Before(until) && !vm.watches() {
		if !pool.Sleep(vm.ctx, retryDelay) {
			return
		}
	}
}

// readVMs polls the platform's list of VMs until the VM stops.
func (vm *VM) readVMs() {
	for vm.ctx.Err() == nil {
		list, err := vm.to.Platform.VMs(vm.ctx)
		if err != nil {
			vm.observe.Counters.PlatformReadFailed()
		} else {
			vm.takeList(list)
		}
		if !pool.Sleep(vm.ctx, vmListTime) {
			return
		}
	}
}

func (vm *VM) takeList(list wire.VMList) {
	listed := make([]fleet.ListedVM, 0, len(list.Vms))
	peers := make([]netip.AddrPort, 0, len(list.Vms))
	for _, v := range list.Vms {
		listed = append(listed, fleet.ListedVM{Address: v.Address, Zone: v.Zone, Leaving: v.State == "leaving"})
		if v.Address != vm.settings.Address {
			peers = append(peers, v.Address)
		}
	}
	before := vm.vmsInZone()
	vm.fleet.SetListed(vm.now(), listed)
	vm.contacts.listed(peers)
	if cfg := vm.catalog.Current(); cfg != nil && vm.vmsInZone() != before {
		vm.applyConfig()
	}
}

// acceptConfig validates a published configuration and applies it if it is newer than the one in force.
func (vm *VM) acceptConfig(value []byte) {
	cfg, faults := codec.ParseConfig(value)
	if len(faults) > 0 {
		vm.observe.Counters.ConfigRefused(faults[0].Code)
		_ = level.Warn(vm.observe.Log).Log("msg", "rejected invalid configuration", "fault", faults[0], "faults", len(faults))
		return
	}
	changed, err := vm.catalog.Accept(cfg, value, vm.now())
	if err != nil {
		vm.observe.Counters.ConfigRefused(codeOf(err))
		return
	}
	if !changed {
		return
	}
	vm.applyConfig()
	_ = level.Info(vm.observe.Log).Log("msg", "applied configuration", "revision", cfg.Revision)
}

// applyConfig passes the configuration in force to the tables. It reads that configuration under the
// lock, so that a worker that accepted an older one cannot overwrite a newer one.
func (vm *VM) applyConfig() {
	vm.contacts.applying.Lock()
	defer vm.contacts.applying.Unlock()
	cfg := vm.catalog.Current()
	now := vm.now()
	vm.admission.SetLimit(cfg.Limits.InFlight)
	vm.routes.apply(cfg)
	vm.fleet.SetDrained(now, cfg.DrainedVMs)
	vm.fleet.SetUpstreams(now, upstreamsOf(cfg))
	vm.follow(vm.owned.Configure(now, cfg, vm.vmsInZone()))
	vm.contacts.setDrained(now, cfg.ZoneDrained(vm.settings.Zone) || cfg.VMDrained(vm.settings.Address))
}

func upstreamsOf(cfg *catalog.Config) []fleet.Upstream {
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

// vmsInZone returns the number of VMs, including this one, that can own the upstreams of this zone.
func (vm *VM) vmsInZone() int {
	n := 1
	for _, p := range vm.fleet.Peers(vm.now()) {
		if p.Zone == vm.settings.Zone && p.Address != vm.settings.Address {
			n++
		}
	}
	return n
}

// askForConfig requests a peer's configuration if it is newer than the one in force on this VM.
func (vm *VM) askForConfig(peer netip.AddrPort, revision, digest uint64) {
	cfg := vm.catalog.Current()
	if revision == 0 || (cfg != nil && (revision < cfg.Revision || (revision == cfg.Revision && digest <= cfg.Digest))) {
		return
	}
	if !vm.contacts.mayAsk(vm.now(), revision, digest) {
		return
	}
	m := &wire.ConfigRequest{}
	if cfg != nil {
		m.Revision, m.Digest = cfg.Revision, cfg.Digest
	}
	vm.to.Peers.Send(peer, &wire.Envelope{Kind: codec.KindConfigRequest, ConfigRequest: m})
}

func (vm *VM) receiveConfigRequest(from netip.AddrPort) {
	if raw := vm.catalog.Raw(); raw != nil {
		vm.to.Peers.Send(from, &wire.Envelope{Kind: codec.KindConfigValue, ConfigValue: &wire.ConfigValue{Value: raw}})
	}
}
