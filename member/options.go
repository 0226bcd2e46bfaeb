package member

import (
	"time"

	"pistachioshore.dev/fleet"
)

const (
	// remembered is how long a silent VM counts as one that shares limits. A VM behind a partition goes
	// on sending, and the platform's budgets are counted over 10 s.
	remembered = 25 * time.Second

	// settled is the time after which the VMs that were heard are taken for all there are.
	settled = 4 * time.Second

	// assumedMembers is the number of VMs assumed until then; the tiers of today have 6 to 8.
	assumedMembers = 8

	// askEvery is the least time between two requests for the state of another VM.
	askEvery = 500 * time.Millisecond
)

// settings returns the intervals of a tier whose VMs own no upstreams: membership decides only about
// shares of limits, so slow heartbeats are enough and cost little.
func settings() fleet.Settings {
	return fleet.Settings{
		Heartbeat: time.Second,
		Reconnect: 2500 * time.Millisecond,
		Suspect:   3 * time.Second,
		Dead:      5 * time.Second,
		Takeover:  5 * time.Second,
		Fence:     2 * time.Second,
		Tick:      500 * time.Millisecond,
	}
}
