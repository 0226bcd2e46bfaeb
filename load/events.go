package load

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/audit"
	"pistachioshore.dev/load/scenario"
	"pistachioshore.dev/pool"
	"pistachioshore.dev/standin/platform"
	"pistachioshore.dev/standin/sample"
	"pistachioshore.dev/standin/upstream"
)

// runEvents applies each event of the scenario at its time.
func (r *run) runEvents(ctx context.Context) error {
	drainedSince := map[string]time.Time{}
	defer func() {
		for zone, from := range drainedSince { // zones that stay drained are audited until the end of the run
			r.tier.Recorder().RecordDrain(audit.Drain{Property: audit.ZoneDrain, Zone: zone, From: from})
		}
	}()
	for _, e := range r.settings.Scenario.Events {
		if !pool.SleepUntil(ctx, r.started.Add(e.At.AsDuration())) {
			return nil
		}
		if err := r.applyEvent(e, drainedSince); err != nil {
			return errors.Wrapf(err, "event %s at %v", e.Action, e.At.AsDuration())
		}
	}
	return nil
}

func (r *run) applyEvent(e scenario.Event, drainedSince map[string]time.Time) error {
	switch e.Action {
	case scenario.SetFaults:
		if r.arm.SkipFaults {
			return nil
		}
		return r.setFaults(e)
	case scenario.PublishSnapshot:
		_, err := r.tier.Publish(sample.WithSnapshots(1, 2))
		return err
	case scenario.DrainZone:
		at, err := r.tier.Publish(sample.WithDrainedZones(e.Target.Zone))
		drainedSince[e.Target.Zone] = at
		return errors.CombineErrors(err, r.setZoneDrained(e.Target.Zone, true))
	case scenario.RestoreZone:
		err := r.setZoneDrained(e.Target.Zone, false)
		at, publishErr := r.tier.Publish(sample.WithDrainedZones())
		r.tier.Recorder().RecordDrain(audit.Drain{Property: audit.ZoneDrain, Zone: e.Target.Zone, From: drainedSince[e.Target.Zone], To: at})
		delete(drainedSince, e.Target.Zone)
		return errors.CombineErrors(err, publishErr)
	case scenario.PlatformDown:
		return r.tier.Platform().SetFaults(platform.Faults{Outage: platform.OutageClose})
	case scenario.PlatformUp:
		return r.tier.Platform().SetFaults(platform.Faults{})
	case scenario.KillVM:
		return r.killVM(e.Target.Zone)
	}
	return errors.Newf("unknown action %q", e.Action)
}

func (r *run) setFaults(e scenario.Event) error {
	selected := r.tier.Upstreams().Select(upstream.Selection{
		Upstream: e.Target.Upstream, Service: e.Target.Service, Group: e.Target.Group, Zone: e.Target.Zone,
	})
	if len(selected) == 0 {
		return errors.New("target matches no upstream")
	}
	for i, u := range selected {
		if e.Target.EveryNth > 1 && i%e.Target.EveryNth != 0 {
			continue
		}
		if err := u.SetFaultsFromWire(*e.Faults); err != nil {
			return err
		}
	}
	return nil
}

// setZoneDrained sets whether the upstreams of a zone count the work that they start as started after the zone
// was drained.
func (r *run) setZoneDrained(zone string, drained bool) error {
	var failures error
	for _, u := range r.tier.Upstreams().Select(upstream.Selection{Zone: zone}) {
		f := u.Faults()
		f.ZoneDrained = drained
		failures = errors.CombineErrors(failures, u.SetFaults(f))
	}
	return failures
}

// killVM terminates the first running VM of a zone without a shutdown, as a crash does.
func (r *run) killVM(zone string) error {
	for _, v := range r.tier.VMs() {
		if v.Zone == zone && v.Running() {
			v.Kill()
			return nil
		}
	}
	return errors.Newf("no running VM in zone %q", zone)
}
