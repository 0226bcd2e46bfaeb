package demo

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/audit"
	"pistachioshore.dev/demo/tier"
	"pistachioshore.dev/pool"
	"pistachioshore.dev/standin/sample"
	"pistachioshore.dev/standin/upstream"
)

// scheduledAction is an operator action that runs at a fixed time after the start.
type act struct {
	at time.Duration
	do func(ctx context.Context) error
}

// runActions publishes a new snapshot, drains a zone, restores it and stops a VM.
func acts(ctx context.Context, t *tier.Tier, firm string, progress *lines) error {
	zone := t.Catalog().Zones[1].Name
	stopped := t.VMs()[0]
	var drained time.Time
	started := time.Now()
	for _, a := range []act{
		{newSnapshotAt, func(context.Context) error {
			_, err := t.Publish(sample.WithSnapshots(1, 2))
			progress.print("%s: snapshot 2 published", firm)
			return err
		}},
		{zoneOutAt, func(context.Context) error {
			var err error
			drained, err = t.Publish(sample.WithDrainedZones(zone))
			progress.print("%s: zone %s drained", firm, zone)
			return errors.CombineErrors(err, markZone(t, zone, true))
		}},
		{zoneBackAt, func(context.Context) error {
			err := markZone(t, zone, false)
			back, publishErr := t.Publish(sample.WithDrainedZones())
			t.Recorder().RecordDrain(audit.Drain{Property: audit.ZoneDrain, Zone: zone, From: drained, To: back})
			progress.print("%s: zone %s restored", firm, zone)
			return errors.CombineErrors(err, publishErr)
		}},
		{stopVMAt, func(ctx context.Context) error {
			progress.print("%s: stopping VM %s in %s", firm, stopped.Address, stopped.Zone)
			return stopped.Stop(context.WithoutCancel(ctx))
		}},
	} {
		if !pool.SleepUntil(ctx, started.Add(a.at)) {
			return errors.New("demo ended before all scheduled actions had run")
		}
		if err := a.do(ctx); err != nil {
			return err
		}
	}
	return nil
}

// setZoneDrained tells the upstreams of a zone whether to count the work that they start as work in a
// drained zone.
func markZone(t *tier.Tier, zone string, out bool) error {
	var failures error
	for _, u := range t.Upstreams().Select(upstream.Selection{Zone: zone}) {
		f := u.Faults()
		f.ZoneDrained = out
		failures = errors.CombineErrors(failures, u.SetFaults(f))
	}
	return failures
}
