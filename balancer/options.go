package balancer

import "time"

// LatencySettings bound the delays that Latency returns.
type LatencySettings struct {
	MinHedgeDelay     time.Duration // least hedge delay
	DefaultHedgeDelay time.Duration // hedge delay before enough results were seen
	DefaultMedian     time.Duration // median before enough results were seen
	HalfLife          time.Duration // time in which the weight of a result halves
}

// DefaultLatencySettings returns the usual settings. With a half-life of 1 s the 95th percentile follows a
// slower group within 0.2 s and a faster one, whose old results have to fall below 5%, within 4.4 s.
func DefaultLatencySettings() LatencySettings {
	return LatencySettings{
		MinHedgeDelay:     2 * time.Millisecond,
		DefaultHedgeDelay: 50 * time.Millisecond,
		DefaultMedian:     10 * time.Millisecond,
		HalfLife:          time.Second,
	}
}

const (
	// minSamples is the number of results of a group from which its own times are used.
	minSamples = 20

	// keptWeight is the weight below which results do not age but are only replaced by new ones, so
	// that a group with few requests keeps an estimate.
	keptWeight = 50

	// refreshEvery is the least time between two computations of a group's percentiles.
	refreshEvery = 50 * time.Millisecond

	// maxGroups bounds the groups remembered; each takes 1.4 KB.
	maxGroups = 1024

	// maxServers bounds the servers whose queue is remembered, enough for 52,000.
	maxServers = 1 << 16

	// queuedFor is the time for which a reported queue is believed. The longest queue worth waiting
	// in drains or is reported again within it.
	queuedFor = 500 * time.Millisecond
)
