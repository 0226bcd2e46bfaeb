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

// act is a fault in a running cell. Its functions may be nil.
type act struct {
	prepare func(c *cell) error // before the watched request, without the fault
	begin   func(c *cell) error
	end     func(c *cell) error
}

// acts returns what the faults of the table do, by name.
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

// Servers that single faults concern; each has another replica.
const (
	faultyServer  = "chiffrage-01-a"
	leavingServer = "suivi-chantier-01-c"
)

// everywhere selects every upstream.
var everywhere = upstream.Selection{}

func slowServer() act {
	const factor = 100 // 400 ms, the deadline of the look-up
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

// repartition makes the next snapshot current and has some upstreams drop the earlier one at once.
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

// restartUpstreams restarts one replica of each service without warning.
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

// configStale shows the first configuration again after a later one is in force.
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
				return errors.New("no VM runs in a process of its own")
			}
			return c.child.Pause()
		},
		end: func(c *cell) error { return c.child.Resume() },
	}
}

// zonePartition separates the last zone from the others; the platform reaches both sides.
func zonePartition() act {
	return act{
		begin: func(c *cell) error {
			for n := range c.tier.Catalog().Zones[:cutZone] {
				c.tier.Network().Partition(c.zone(n), c.zone(cutZone))
			}
			return nil
		},
		end: func(c *cell) error {
			for n := range c.tier.Catalog().Zones[:cutZone] {
				c.tier.Network().Heal(c.zone(n), c.zone(cutZone))
			}
			return nil
		},
	}
}

// Zones that faults concern; the VM in a process of its own is in zone 0.
const (
	platformZone = 1 // loses the platform
	outZone      = 1 // is taken out
	cutZone      = 2 // loses the other zones
)

// platformPartition takes the platform from one zone while a configuration is published.
func platformPartition() act {
	return act{
		begin: func(c *cell) error {
			c.tier.Network().Partition(c.zone(platformZone), tier.PlatformSegment)
			return c.publish()
		},
		end: func(c *cell) error {
			c.tier.Network().Heal(c.zone(platformZone), tier.PlatformSegment)
			return nil
		},
	}
}

// silence makes the connections of the VM at the step, and those at the upstreams, silent for good.
func silence(c *cell) error {
	c.tier.Network().SilenceConnections(c.target().Address)
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
			v, err := c.tier.AddVM(c.ctx, c.killed.Zone, c.killed.Address)
			if err == nil {
				c.restartZone(v)
			}
			return err
		},
	}
}

// Restarts while a VM comes back: a cold upstream is where two owner VMs at a time would show.
const (
	zoneRestarts     = 4
	zoneRestartEvery = 300 * time.Millisecond
)

// restartZone restarts the upstreams of a new VM's zone again and again, and asks this VM and another
// at once as soon as they are back.
func (c *cell) restartZone(v *tier.VM) {
	for range zoneRestarts {
		for _, u := range c.tier.Upstreams().Select(upstream.Selection{Zone: v.Zone}) {
			u.Restart()
		}
		c.sleep(upstreamRestart)
		for range zoneRestartEvery / lookupEvery {
			c.sendLookupTo(v, c.number())
			c.sendLookupTo(c.client.PickVM(), c.number())
			c.sleep(lookupEvery / 2)
		}
	}
}

func (c *cell) sendLookupTo(v *tier.VM, n int) {
	c.work.Go(func() { c.client.Query(context.Background(), v, caller(n), c.lookup(n)) })
}

// replace starts a VM at a new address and stops the one at the step.
func replace(c *cell) error {
	old := c.target()
	if _, err := c.tier.AddVM(c.ctx, old.Zone, netip.AddrPort{}); err != nil {
		return err
	}
	c.work.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), closeTime)
		defer cancel()
		_ = old.Stop(ctx) // the audit sees whether a request failed
		_ = c.tier.PublishVMs()
	})
	return nil
}

// zoneOutRace takes a zone out, marks an upstream of another as leaving at the same time, and brings
// both back in the other order.
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

// falseLoad is the load of an upstream that is overloaded, which none is.
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
