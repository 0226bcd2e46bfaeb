package matrix

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/audit"
	"pistachioshore.dev/demo/tier"
	"pistachioshore.dev/standin/platform"
	"pistachioshore.dev/standin/sample"
	"pistachioshore.dev/standin/upstream"
	"pistachioshore.dev/wire"
)

// injector injects and removes a fault in a cell. Its functions may be nil.
type injector struct {
	prepare func(c *cellRun) error // runs before the watched request is sent
	inject  func(c *cellRun) error
	remove  func(c *cellRun) error
}

// injectors returns the injectors by the name of the fault.
func injectors() map[string]injector {
	return map[string]injector{
		"straggling-shard":   stragglingShard(),
		"lost-replica":       lostReplica(),
		"repartition":        repartition(),
		"upstream-cold":      {inject: restartUpstreams},
		"config-down":        configDown(),
		"config-stale":       configStale(),
		"process-paused":     processPaused(),
		"zone-partition":     zonePartition(),
		"platform-partition": platformPartition(),
		"poison-request":     poisonRequest(),
		"silent-connections": {inject: silenceConnections, remove: enableDeadlineCheck},
		"vm-killed":          vmKilled(),
		"vm-replaced":        {inject: replaceVM},
		"zone-out-race":      zoneOutRace(),
		"false-reports":      falseReports(),
	}
}

// Servers that single faults affect. Each has another replica.
const (
	faultyServer  = "chiffrage-01-a"
	leavingServer = "suivi-chantier-01-c"
)

// allUpstreams selects every upstream.
var allUpstreams = upstream.Selection{}

func stragglingShard() injector {
	const factor = 100 // 4 ms of service time become 400 ms, the deadline of the look-up
	return injector{
		inject: func(c *cellRun) error {
			return c.editFaults(upstream.Selection{Upstream: faultyServer}, func(f *upstream.Faults) { f.SlowFactor = factor })
		},
		remove: func(c *cellRun) error {
			return c.editFaults(upstream.Selection{Upstream: faultyServer}, func(f *upstream.Faults) { f.SlowFactor = 0 })
		},
	}
}

func lostReplica() injector {
	set := func(lost bool) func(c *cellRun) error {
		return func(c *cellRun) error {
			return c.editFaults(upstream.Selection{Upstream: faultyServer}, func(f *upstream.Faults) { f.Unreachable = lost })
		}
	}
	return injector{inject: set(true), remove: set(false)}
}

// repartition switches to a snapshot with another shard map, and makes one upstream drop the previous snapshot at once.
func repartition() injector {
	return injector{
		inject: func(c *cellRun) error {
			next := sample.FirstRepartitionedSnapshot
			if c.currentSnapshot == sample.FirstRepartitionedSnapshot {
				next = 1
			}
			c.currentSnapshot = uint64(next)
			err := c.publish(sample.WithSnapshots(1, 2, sample.FirstRepartitionedSnapshot), sample.WithCurrentSnapshot(c.currentSnapshot))
			return errors.CombineErrors(err, c.editFaults(upstream.Selection{Upstream: faultyServer}, func(f *upstream.Faults) {
				f.Snapshots = []uint64{c.currentSnapshot}
			}))
		},
		remove: func(c *cellRun) error {
			return c.editFaults(allUpstreams, func(f *upstream.Faults) { f.Snapshots = nil })
		},
	}
}

// restartUpstreams restarts one replica of each service without a drain.
func restartUpstreams(c *cellRun) error {
	for _, u := range c.tier.Upstreams().All() {
		if u.Name()[len(u.Name())-1] == 'a' {
			u.Restart()
		}
	}
	return nil
}

func configDown() injector {
	return injector{
		inject: func(c *cellRun) error {
			return c.updatePlatformFaults(func(f *platform.Faults) { f.Outage = platform.OutageClose })
		},
		remove: func(c *cellRun) error {
			err := c.updatePlatformFaults(func(f *platform.Faults) { f.Outage = platform.NoOutage })
			return errors.CombineErrors(err, c.publish())
		},
	}
}

// configStale makes the platform serve the first configuration again after a later one is in effect.
func configStale() injector {
	return injector{
		prepare: func(c *cellRun) error {
			if err := c.publish(); err != nil {
				return err
			}
			return c.waitPropagated()
		},
		inject: func(c *cellRun) error {
			return c.updatePlatformFaults(func(f *platform.Faults) { f.StaleTag = 1 })
		},
		remove: func(c *cellRun) error {
			return c.updatePlatformFaults(func(f *platform.Faults) { f.StaleTag = 0 })
		},
	}
}

func processPaused() injector {
	return injector{
		inject: func(c *cellRun) error {
			if c.child == nil {
				return errors.New("no VM runs in a child process")
			}
			return c.child.Pause()
		},
		remove: func(c *cellRun) error { return c.child.Resume() },
	}
}

// zonePartition partitions the last zone from the others. Both sides can reach the platform.
func zonePartition() injector {
	return injector{
		inject: func(c *cellRun) error {
			for n := range c.tier.Catalog().Zones[:partitionedZone] {
				c.tier.Network().Partition(c.zoneName(n), c.zoneName(partitionedZone))
			}
			return nil
		},
		remove: func(c *cellRun) error {
			for n := range c.tier.Catalog().Zones[:partitionedZone] {
				c.tier.Network().Heal(c.zoneName(n), c.zoneName(partitionedZone))
			}
			return nil
		},
	}
}

// Indexes of the zones that faults affect. The VM in a child process is in zone 0.
const (
	platformPartitionedZone = 1 // loses its connection to the platform
	drainedZone             = 1 // is drained
	partitionedZone         = 2 // loses its connections to the other zones
)

// platformPartition partitions one zone from the platform and publishes a configuration.
func platformPartition() injector {
	return injector{
		inject: func(c *cellRun) error {
			c.tier.Network().Partition(c.zoneName(platformPartitionedZone), tier.PlatformSegment)
			return c.publish()
		},
		remove: func(c *cellRun) error {
			c.tier.Network().Heal(c.zoneName(platformPartitionedZone), tier.PlatformSegment)
			return nil
		},
	}
}

// silenceConnections permanently stops the open connections of the target VM and of all upstreams from delivering data or
// signalling a close.
func silenceConnections(c *cellRun) error {
	c.tier.Network().SilenceConnections(c.targetVM().Address)
	for _, u := range c.tier.Upstreams().All() {
		u.SilenceConnections()
	}
	return nil
}

func enableDeadlineCheck(c *cellRun) error {
	c.checkDeadlines = true
	return nil
}

func vmKilled() injector {
	return injector{
		inject: func(c *cellRun) error {
			c.killedVM = c.targetVM()
			c.killedVM.Kill()
			return nil
		},
		remove: func(c *cellRun) error {
			v, err := c.tier.AddVM(c.ctx, c.killedVM.Zone, c.killedVM.Address)
			if err == nil {
				c.restartZoneUpstreams(v)
			}
			return err
		},
	}
}

// Restarts of the upstreams while a VM rejoins. If two VMs owned an upstream at a time, a cold one would exceed its
// cold-start limit.
const (
	rejoinRestarts        = 4
	rejoinRestartInterval = 300 * time.Millisecond
)

// restartZoneUpstreams restarts the upstreams in the zone of a new VM several times. After each restart, it sends
// look-ups to this VM and to another one at the same time.
func (c *cellRun) restartZoneUpstreams(v *tier.VM) {
	for range rejoinRestarts {
		for _, u := range c.tier.Upstreams().Select(upstream.Selection{Zone: v.Zone}) {
			u.Restart()
		}
		c.sleep(upstreamRestartTime)
		for range rejoinRestartInterval / lookupInterval {
			c.sendLookupTo(v, c.nextNumber())
			c.sendLookupTo(c.client.PickVM(), c.nextNumber())
			c.sleep(lookupInterval / 2)
		}
	}
}

func (c *cellRun) sendLookupTo(v *tier.VM, n int) {
	c.background.Go(func() { c.client.Query(context.Background(), v, callerName(n), c.newLookup(n)) })
}

// replaceVM starts a VM at a new address and stops the target VM.
func replaceVM(c *cellRun) error {
	old := c.targetVM()
	if _, err := c.tier.AddVM(c.ctx, old.Zone, netip.AddrPort{}); err != nil {
		return err
	}
	c.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), closeTimeout)
		defer cancel()
		_ = old.Stop(ctx) // the audit reports requests that failed
		_ = c.tier.PublishVMs()
	})
	return nil
}

// zoneOutRace drains a zone, marks an upstream of another zone as leaving at the same time, and reverts both in the
// opposite order.
func zoneOutRace() injector {
	var drainedAt, leavingAt time.Time
	return injector{
		inject: func(c *cellRun) error {
			var err error
			if drainedAt, err = c.publishAt(sample.WithDrainedZones(c.zoneName(drainedZone))); err != nil {
				return err
			}
			leavingAt, err = c.publishAt(sample.WithLeavingServers(leavingServer))
			return err
		},
		remove: func(c *cellRun) error {
			revertedAt := time.Now()
			c.recordDrain(audit.Drain{Property: audit.ZoneDrain, Zone: c.zoneName(drainedZone), From: drainedAt, To: revertedAt})
			c.recordDrain(audit.Drain{Property: audit.UpstreamDrain, Upstream: leavingServer, From: leavingAt, To: revertedAt})
			return errors.CombineErrors(c.publish(sample.WithLeavingServers()), c.publish(sample.WithDrainedZones()))
		},
	}
}

// falseLoad returns the load report of an overloaded upstream. The upstreams that send it are not overloaded.
func falseLoad() *wire.Load {
	return &wire.Load{Running: 1000, Queued: 1000, Slots: 1, Cold: true}
}

func falseReports() injector {
	return injector{
		inject: func(c *cellRun) error {
			return c.editFaults(allUpstreams, func(f *upstream.Faults) {
				f.ReportedStatus, f.ReportLag = "draining", time.Minute
				f.ReportedLoad = falseLoad()
			})
		},
		remove: func(c *cellRun) error {
			return c.editFaults(allUpstreams, func(f *upstream.Faults) {
				f.ReportedStatus, f.ReportLag, f.ReportedLoad = "", 0, nil
			})
		},
	}
}
