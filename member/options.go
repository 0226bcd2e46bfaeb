package member

import (
	"time"

	"pistachioshore.dev/fleet"
)

const (
	// askEvery is the least time between two requests for the state of another VM; an answer takes less.
	askEvery = 200 * time.Millisecond

	// homeFirst is the time that a VM's home has to tell what other aggregators know.
	homeFirst = 600 * time.Millisecond

	// sourceSilence is the silence of all aggregators that the platform answers, after which a VM reads the
	// platform itself. Two heartbeats may be late; the shortest bound on a change in force is 3 s.
	sourceSilence = 2500 * time.Millisecond
)

// settings returns the intervals of a tier whose VMs own no upstreams: membership decides only about
// shares of limits, so slow heartbeats are enough and cost little.
func settings() fleet.Settings {
	return fleet.Settings{
		HeartbeatInterval: time.Second,
		ReconnectAfter:    2500 * time.Millisecond,
		SuspectAfter:      3 * time.Second,
		DeadAfter:         5 * time.Second,
		TakeoverDelay:     5 * time.Second,
		FenceAfter:        2 * time.Second,
		TickInterval:      500 * time.Millisecond,
	}
}
