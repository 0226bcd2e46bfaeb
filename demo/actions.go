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
type scheduledAction struct {
	offset time.Duration
	do     func(ctx context.Context) error
}

// runActions publishes a new snapshot, drains a zone, restores it and stops a VM.
func runActions(ctx context.Context, t *tier.Tier, firm string, progress *progressLog) error {
	zone := t.Catalog().Zones[1].Name
	stoppedVM := t.VMs()[0]
	var drainedAt time.Time
	started := time.Now()
	for _, a := range []scheduledAction{
		{publishSnapshotAt, func(context.Context) error {
			_, err := t.Publish(sample.WithSnapshots(1, 2))
			progress.printf("%s: snapshot 2 published", firm)
			return err
		}},
		{drainZoneAt, func(context.Context) error {
			var err error
			drainedAt, err = t.Publish(sample.WithDrainedZones(zone))
			progress.printf("%s: zone %s drained", firm, zone)
			return errors.CombineErrors(err, setZoneDrained(t, zone, true))
		}},
		{restoreZoneAt, func(context.Context) error {
			err := setZoneDrained(t, zone, false)
			restoredAt, publishErr := t.Publish(sample.WithDrainedZones())
			t.Recorder().RecordDrain(audit.Drain{Property: audit.ZoneDrain, Zone: zone, From: drainedAt, To: restoredAt})
			progress.printf("%s: zone %s restored", firm, zone)
			return errors.CombineErrors(err, publishErr)
		}},
		{stopVMAt, func(ctx context.Context) error {
			progress.printf("%s: stopping VM %s in %s", firm, stoppedVM.Address, stoppedVM.Zone)
			return stoppedVM.Stop(context.WithoutCancel(ctx))
		}},
	} {
		if !pool.SleepUntil(ctx, started.Add(a.offset)) {
			return errors.New("demo ended before all scheduled actions had run")
		}
		if err := a.do(ctx); err != nil {
			return err
		}
	}
	return nil
}

// setZoneDrained sets whether the upstreams of a zone count the work that they start as started after the zone
// was drained.
func setZoneDrained(t *tier.Tier, zone string, drained bool) error {
	var failures error
	for _, u := range t.Upstreams().Select(upstream.Selection{Zone: zone}) {
		f := u.Faults()
		f.ZoneDrained = drained
		failures = errors.CombineErrors(failures, u.SetFaults(f))
	}
	return failures
}
