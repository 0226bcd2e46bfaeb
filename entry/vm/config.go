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

// Times of the reads from the platform.
const (
	watchTime   = 10 * time.Second       // longest time that one watch waits
	pollTime    = 30 * time.Second       // between reads of a VM that does not watch
	retryDelay  = 500 * time.Millisecond // after a failed read
	vmListTime  = time.Second            // between reads of the list of VMs
	drainGrace  = 2 * time.Second        // a drained VM serves on while the load balancer learns that it is not ready
	peerAskTime = 1500 * time.Millisecond
	askAgain    = time.Second // before another VM is asked for a configuration already asked for
	smallTier   = 16          // VMs; their watches cost the platform under 2 reads a second
)

// watchConfig keeps reading the published configuration until the VM stops.
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

// watches reports whether this VM watches the platform. In a small tier all do, so that a change is
// seen within seconds while any one of them reaches the platform.
func (vm *VM) watches() bool {
	return len(vm.fleet.Peers(vm.now())) < smallTier || vm.fleet.WatchesPlatform()
}

// waitForWatch waits for the next poll, or until this VM has become a watcher.
func (vm *VM) waitForWatch(d time.Duration) {
	until := vm.now().Add(d)
	for vm.now().Before(until) && !vm.watches() {
		if !pool.Sleep(vm.ctx, retryDelay) {
			return
		}
	}
}

// readVMs keeps reading the platform's list of VMs until the VM stops.
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

// acceptConfig checks a published configuration and puts it in force if it is the highest.
func (vm *VM) acceptConfig(value []byte) {
	cfg, faults := codec.ParseConfig(value)
	if len(faults) > 0 {
		vm.observe.Counters.ConfigRefused(faults[0].Code)
		_ = level.Warn(vm.observe.Log).Log("msg", "configuration refused", "fault", faults[0], "faults", len(faults))
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
	_ = level.Info(vm.observe.Log).Log("msg", "configuration in force", "revision", cfg.Revision)
}

// applyConfig passes the configuration in force to the tables. Workers may apply two versions at
// once, so each reads the newest again until it has applied that one.
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

// vmsInZone counts the VMs that may own an upstream of this zone, this one included.
func (vm *VM) vmsInZone() int {
	n := 1
	for _, p := range vm.fleet.Peers(vm.now()) {
		if p.Zone == vm.settings.Zone && p.Address != vm.settings.Address {
			n++
		}
	}
	return n
}

// askForConfig asks a VM for its configuration if it is higher than the one in force here.
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
