package scenario

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/standin/sample"
)

// Limits of a run, so that a mistake in a file does not overload a shared host.
const (
	maxDuration  = 3 * time.Minute
	maxPerSecond = 1000
	maxVMs       = 4
)

var actions = []Action{SetFaults, PublishSnapshot, DrainZone, RestoreZone, PlatformDown, PlatformUp, KillVM}

// validate returns an error that names the first invalid field and its allowed range.
func (s Scenario) validate() error {
	switch {
	case s.Format != Format:
		return errors.Newf("format: %d, allowed: %d", s.Format, Format)
	case s.Name == "":
		return errors.New("name: missing")
	case !slices.Contains(sample.Firms(), s.Firm):
		return errors.Newf("firm: %q, allowed: %v", s.Firm, sample.Firms())
	case s.VMsPerZone < 1 || s.VMsPerZone > maxVMs:
		return errors.Newf("vms-per-zone: %d, allowed: 1 to %d", s.VMsPerZone, maxVMs)
	case s.Duration.AsDuration() <= 0 || s.Duration.AsDuration() > maxDuration:
		return errors.Newf("duration: %v, allowed: above 0s to %v", s.Duration.AsDuration(), maxDuration)
	case s.ServiceTime.AsDuration() <= 0:
		return errors.Newf("service-time: %v, allowed: above 0s", s.ServiceTime.AsDuration())
	case len(s.Arrivals) == 0 || len(s.Phases) == 0 || len(s.Arms) == 0:
		return errors.New("arrivals, phases and arms: at least one of each is needed")
	}
	for _, a := range s.Arrivals {
		if err := a.validate(); err != nil {
			return err
		}
	}
	return s.validateEventsAndPhases()
}

func (a Arrival) validate() error {
	var previous time.Duration
	for _, r := range a.Rates {
		if r.PerSecond < 0 || r.PerSecond > maxPerSecond {
			return errors.Newf("arrivals %s: per-second: %v, allowed: 0 to %d", a.Route, r.PerSecond, maxPerSecond)
		}
		if r.From.AsDuration() < previous {
			return errors.Newf("arrivals %s: from: %v, allowed: at least %v", a.Route, r.From.AsDuration(), previous)
		}
		previous = r.From.AsDuration()
	}
	return nil
}

func (s Scenario) validateEventsAndPhases() error {
	for _, e := range s.Events {
		if !slices.Contains(actions, e.Action) {
			return errors.Newf("events: action: %q, allowed: %v", e.Action, actions)
		}
		if e.Action == SetFaults && e.Faults == nil {
			return errors.Newf("events: faults: missing at %v", e.At.AsDuration())
		}
		if e.At.AsDuration() < 0 || e.At.AsDuration() > s.Duration.AsDuration() {
			return errors.Newf("events: at: %v, allowed: 0s to %v", e.At.AsDuration(), s.Duration.AsDuration())
		}
	}
	for _, p := range s.Phases {
		if p.From.AsDuration() < 0 || p.To.AsDuration() <= p.From.AsDuration() || p.To.AsDuration() > s.Duration.AsDuration() {
			return errors.Newf("phases %s: from and to: %v to %v, allowed: 0s to %v", p.Name, p.From.AsDuration(), p.To.AsDuration(), s.Duration.AsDuration())
		}
	}
	return nil
}
