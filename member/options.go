package member

import (
	"time"

	"pistachioshore.dev/fleet"
)

const (
	// stateRequestInterval is the minimum time between two requests for the state of other VMs.
	stateRequestInterval = 200 * time.Millisecond

	// stateResponseTimeout is the time without a page of its state after which a VM is asked again. A large configuration
	// takes some 0.5 s on the links of small VMs; a second request meanwhile would have it sent twice.
	stateResponseTimeout = 1500 * time.Millisecond

	// primaryHeadStart is the time within which the primary aggregator must provide a change that other aggregators
	// have, before a VM requests it from one of those.
	primaryHeadStart = 600 * time.Millisecond

	// sourceTimeout is the time without a heartbeat from the primary aggregator after which what it reported no longer counts.
	// It tolerates two late heartbeats.
	sourceTimeout = 2500 * time.Millisecond
)

// remoteHeartbeatRatio is the number of heartbeats of which a VM in another zone gets one. They only have to keep the link
// and the list of live aggregators, and bytes between zones cost more.
const remoteHeartbeatRatio = 2

// settings returns the intervals for a tier whose VMs own no upstreams. Membership determines only the shares of
// limits, so infrequent heartbeats, which cost little, are sufficient.
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
