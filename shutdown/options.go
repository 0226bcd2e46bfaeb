package shutdown

import "time"

// Settings are the settings of a shutdown.
type Settings struct {
	BalancerLag time.Duration // time for which the platform's load balancer may still send requests, at most 2 s
}

// Defaults returns the usual settings.
func Defaults() Settings {
	return Settings{BalancerLag: time.Second}
}

const (
	// MaxBalancerLag leaves the later phases their time.
	MaxBalancerLag = 2 * time.Second

	// handOverFor covers the longest attempt deadline (2.5 s) and the handover message.
	handOverFor = 3 * time.Second

	// The later bounds count from the start, so that time that one phase leaves goes to the next.
	drainBound = 7000 * time.Millisecond
	endBound   = 7300 * time.Millisecond // answers that were ended are on their way by then
	exitBound  = 8000 * time.Millisecond

	// lookEvery is the longest time between two looks at the inputs.
	lookEvery = 50 * time.Millisecond
)
