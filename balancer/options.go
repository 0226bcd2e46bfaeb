package balancer

import "time"

// LatencySettings configure a LatencyEstimator.
type LatencySettings struct {
	MinHedgeDelay     time.Duration // lower bound of the hedge delay
	DefaultHedgeDelay time.Duration // hedge delay until a group has enough samples
	DefaultMedian     time.Duration // median until a group has enough samples
	HalfLife          time.Duration // time in which the weight of a sample halves
}

// DefaultLatencySettings returns the default settings. With a half-life of 1 s the 95th percentile
// adapts within 0.2 s when a group gets slower. It takes up to 4.4 s when a group gets faster, because
// the old samples have to decay below 5% of the weight first.
func DefaultLatencySettings() LatencySettings {
	return LatencySettings{
		MinHedgeDelay:     2 * time.Millisecond,
		DefaultHedgeDelay: 50 * time.Millisecond,
		DefaultMedian:     10 * time.Millisecond,
		HalfLife:          time.Second,
	}
}

const (
	// minSamples is the number of samples a group needs before its percentiles replace the defaults.
	minSamples = 20

	// minDecayedWeight is the total weight at which samples stop decaying and are only displaced by
	// new ones, so that a group with little traffic keeps an estimate.
	minDecayedWeight = 50

	// refreshInterval is the minimum interval between two computations of a group's percentiles.
	refreshInterval = 50 * time.Millisecond

	// maxGroups limits the number of tracked groups; each uses 1.4 KB.
	maxGroups = 1024

	// maxServers limits the number of servers with a remembered queue length; it is enough for 52,000
	// servers.
	maxServers = 1 << 16

	// queueReportTTL is how long a reported queue length stays valid. Within this time the longest
	// queue worth waiting in either drains or is reported again.
	queueReportTTL = 500 * time.Millisecond
)
