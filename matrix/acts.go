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
type act struct {
	prepare func(c *cell) error // runs before the watched request is sent
	begin   func(c *cell) error
	end     func(c *cell) error
}

// injectors returns the injectors by the name of the fault.
func acts() map[string]act {
	return map[string]act{
		"straggling-shard":   slowServer(),
		"lost-replica":       lostReplica(),
		"repartition":        repartition(),
		"upstream-cold":      {begin: restartUpstreams},
		"config-down":        configDown(),
		"config-stale":       configStale(),
		"process-paused":     paused(),
		"zone-partition":     zonePartition(),
		"platform-partition": platformPartition(),
		"poison-request":     poison(),
		"silent-connections": {begin: silence, end: unsilence},
		"vm-killed":          killed(),
		"vm-replaced":        {begin: replace},
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
var everywhere = upstream.Selection{}

func slowServer() act {
	const factor = 100 // 4 ms of service time become 400 ms, the deadline of the look-up
	return act{
		begin: func(c *cell) error {
			return c.edit(upstream.Selection{Upstream: faultyServer}, func(f *upstream.Faults) { f.SlowFactor = factor })
		},
		end: func(c *cell) error {
			return c.edit(upstream.Selection{Upstream: faultyServer}, func(f *upstream.Faults) { f.SlowFactor = 0 })
		},
	}
}

func lostReplica() act {
	set := func(lost bool) func(c *cell) error {
		return func(c *cell) error {
			return c.edit(upstream.Selection{Upstream: faultyServer}, func(f *upstream.Faults) { f.Unreachable = lost })
		}
	}
	return act{begin: set(true), end: set(false)}
}

// repartition switches to a snapshot with another shard map, and makes one upstream drop the previous snapshot at once.
func repartition() act {
	return act{
		begin: func(c *cell) error {
			next := sample.FirstRepartitionedSnapshot
			if c.current == sample.FirstRepartitionedSnapshot {
				next = 1
			}
			c.current = uint64(next)
			err := c.publish(sample.WithSnapshots(1, 2, sample.FirstRepartitionedSnapshot), sample.WithCurrentSnapshot(c.current))
			return errors.CombineErrors(err, c.edit(upstream.Selection{Upstream: faultyServer}, func(f *upstream.Faults) {
				f.Snapshots = []uint64{c.current}
			}))
		},
		end: func(c *cell) error {
			return c.edit(everywhere, func(f *upstream.Faults) { f.Snapshots = nil })
		},
	}
}

// restartUpstreams restarts one replica of each service without a drain.
func restartUpstreams(c *cell) error {
	for _, u := range c.tier.Upstreams().All() {
		if u.Name()[len(u.Name())-1] == 'a' {
			u.Restart()
		}
	}
	return nil
}

func configDown() act {
	return act{
		begin: func(c *cell) error {
			return c.platformFaults(func(f *platform.Faults) { f.Outage = platform.OutageClose })
		},
		end: func(c *cell) error {
			err := c.platformFaults(func(f *platform.Faults) { f.Outage = platform.NoOutage })
			return errors.CombineErrors(err, c.publish())
		},
	}
}

// configStale makes the platform serve the first configuration again after a later one is in effect.
func configStale() act {
	return act{
		prepare: func(c *cell) error {
			if err := c.publish(); err != nil {
				return err
			}
			return c.waitInForce()
		},
		begin: func(c *cell) error {
			return c.platformFaults(func(f *platform.Faults) { f.StaleTag = 1 })
		},
		end: func(c *cell) error {
			return c.platformFaults(func(f *platform.Faults) { f.StaleTag = 0 })
		},
	}
}

func paused() act {
	return act{
		begin: func(c *cell) error {
			if c.child == nil {
				return errors.New("no VM runs in a child process")
			}
			return c.child.Pause()
		},
		end: func(c *cell) error { return c.child.Resume() },
	}
}

// zonePartition partitions the last zone from the others. Both sides can reach the platform.
func zonePartition() act {
	return act{
		begin: func(c *cell) error {
			for n := range c.tier.Catalog().Zones[:cutZone] {
				c.tier.Network().Cut(c.zone(n), c.zone(cutZone))
			}
			return nil
		},
		end: func(c *cell) error {
			for n := range c.tier.Catalog().Zones[:cutZone] {
				c.tier.Network().Join(c.zone(n), c.zone(cutZone))
			}
			return nil
		},
	}
}

// Indexes of the zones that faults affect. The VM in a child process is in zone 0.
const (
	platformZone = 1 // loses its connection to the platform
	outZone      = 1 // is drained
	cutZone      = 2 // loses its connections to the other zones
)

// platformPartition partitions one zone from the platform and publishes a configuration.
func platformPartition() act {
	return act{
		begin: func(c *cell) error {
			c.tier.Network().Cut(c.zone(platformZone), tier.PlatformSide)
			return c.publish()
		},
		end: func(c *cell) error {
			c.tier.Network().Join(c.zone(platformZone), tier.PlatformSide)
			return nil
		},
	}
}

// silenceConnections makes the open connections of the target VM and of all upstreams silent for good: they neither
// deliver data nor close.
func silence(c *cell) error {
	c.tier.Network().Silence(c.target().Address)
	for _, u := range c.tier.Upstreams().All() {
		u.SilenceConnections()
	}
	return nil
}

func unsilence(c *cell) error {
	c.checkDeadlines = true
	return nil
}

func killed() act {
	return act{
		begin: func(c *cell) error {
			c.killed = c.target()
			c.killed.Kill()
			return nil
		},
		end: func(c *cell) error {
			v, err := c.tier.Add(c.ctx, c.killed.Zone, c.killed.Address)
			if err == nil {
				c.restartZone(v)
			}
			return err
		},
	}
}

// Restarts of the upstreams while a VM rejoins. If two VMs owned an upstream at a time, a cold one would exceed its
// cold-start limit.
const (
	zoneRestarts     = 4
	zoneRestartEvery = 300 * time.Millisecond
)

// restartZoneUpstreams restarts the upstreams in the zone of a new VM several times. After each restart, it sends
// look-ups to this VM and to another one at the same time.
func (c *cell) restartZone(v *tier.VM) {
	for range zoneRestarts {
		for _, u := range c.tier.Upstreams().Select(upstream.Selection{Zone: v.Zone}) {
			u.Restart()
		}
		c.sleep(upstreamRestart)
		for range zoneRestartEvery / lookupEvery {
			c.sendLookupTo(v, c.number())
			c.sendLookupTo(c.client.Pick(), c.number())
			c.sleep(lookupEvery / 2)
		}
	}
}

func (c *cell) sendLookupTo(v *tier.VM, n int) {
	c.work.Go(func() { c.client.Query(context.Background(), v, caller(n), c.lookup(n)) })
}

// replaceVM starts a VM at a new address and stops the target VM.
func replace(c *cell) error {
	old := c.target()
	if _, err := c.tier.Add(c.ctx, old.Zone, netip.AddrPort{}); err != nil {
		return err
	}
	c.work.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), closeTime)
		defer cancel()
		_ = old.Stop(ctx) // the audit reports requests that failed
		_ = c.tier.List()
	})
	return nil
}

// zoneOutRace drains a zone, marks an upstream of another zone as leaving at the same time, and reverts both in the
// opposite order.
func zoneOutRace() act {
	var from, leaving time.Time
	return act{
		begin: func(c *cell) error {
			var err error
			if from, err = c.publishAt(sample.WithDrainedZones(c.zone(outZone))); err != nil {
				return err
			}
			leaving, err = c.publishAt(sample.WithLeavingServers(leavingServer))
			return err
		},
		end: func(c *cell) error {
			back := time.Now()
			c.outage(audit.Drain{Property: audit.ZoneDrain, Zone: c.zone(outZone), From: from, To: back})
			c.outage(audit.Drain{Property: audit.UpstreamDrain, Upstream: leavingServer, From: leaving, To: back})
			return errors.CombineErrors(c.publish(sample.WithLeavingServers()), c.publish(sample.WithDrainedZones()))
		},
	}
}

// falseLoad returns the load report of an overloaded upstream. The upstreams that send it are not overloaded.
func falseLoad() *wire.Load {
	return &wire.Load{Running: 1000, Queued: 1000, Slots: 1, Cold: true}
}

func falseReports() act {
	return act{
		begin: func(c *cell) error {
			return c.edit(everywhere, func(f *upstream.Faults) {
				f.ReportedStatus, f.ReportLag = "draining", time.Minute
				f.ReportedLoad = falseLoad()
			})
		},
		end: func(c *cell) error {
			return c.edit(everywhere, func(f *upstream.Faults) {
				f.ReportedStatus, f.ReportLag, f.ReportedLoad = "", 0, nil
			})
		},
	}
}
