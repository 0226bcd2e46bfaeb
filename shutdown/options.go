package shutdown

import "time"

// Settings are the settings of a shutdown.
type Settings struct {
	BalancerLag time.Duration // time for which the platform's load balancer may still send requests, at most 2 s
	GracePeriod time.Duration // time in which the process has to end, 5 to 8 s; 0 for 8 s
}

// DefaultSettings returns the usual settings.
func DefaultSettings() Settings {
	return Settings{BalancerLag: time.Second}
}

const (
	// MaxBalancerLag leaves the later phases their time.
	MaxBalancerLag = 2 * time.Second

	// handOverFor covers the longest attempt deadline (2.5 s) and the handover message.
	handOverFor = 3 * time.Second

	// MaxGracePeriod and minGrace bound the whole shutdown.
	MaxGracePeriod = 8 * time.Second
	minGrace       = 5 * time.Second

	// The later bounds count back from the end, so that time that one phase leaves goes to the next.
	drainBefore = 1000 * time.Millisecond
	endBefore   = 700 * time.Millisecond // answers that were ended are on their way by then

	// lookEvery is the longest time between two looks at the inputs.
	lookEvery = 50 * time.Millisecond
)
