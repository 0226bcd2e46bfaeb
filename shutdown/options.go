package shutdown

import "time"

// Settings are the time limits of a shutdown.
type Settings struct {
	BalancerLag time.Duration // how long the platform's load balancer may still send requests, at most 2 s
	GracePeriod time.Duration // time within which the process has to exit, 5 to 8 s; 0 means 8 s

	// DrainReserve and EndReserve are the time before the end of the grace period at which the VM's own requests are told
	// to end, and at which it no longer waits for them; 0 means 1 s and 0.7 s. EndReserve is the shorter one.
	DrainReserve time.Duration
	EndReserve   time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{BalancerLag: time.Second}
}

const (
	// MaxBalancerLag bounds Settings.BalancerLag, so that enough time is left for the later phases.
	MaxBalancerLag = 2 * time.Second

	// handoverTimeout covers the longest attempt deadline (2.5 s) and the handover message.
	handoverTimeout = 3 * time.Second

	// MaxGracePeriod and minGracePeriod bound Settings.GracePeriod.
	MaxGracePeriod = 8 * time.Second
	minGracePeriod = 5 * time.Second

	// The later phases end a fixed time before the grace period does, so that each phase can use the time that the
	// previous ones left. These are the defaults of Settings.DrainReserve and Settings.EndReserve.
	defaultDrainReserve = 1000 * time.Millisecond
	defaultEndReserve   = 700 * time.Millisecond // time for the last answers to reach their callers

	// checkInterval is the longest time between two checks of the progress.
	checkInterval = 50 * time.Millisecond
)
