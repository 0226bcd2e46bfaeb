package fleet

import "time"

// Settings are the intervals that govern membership and ownership; all VMs of a tier use the same.
//
// Takeover must not be below Dead, and Fence must be below Dead by more than the longest message delay:
// otherwise a VM is replaced while it still acts as the owner.
type Settings struct {
	HeartbeatInterval time.Duration // between two heartbeats to a peer
	ReconnectAfter    time.Duration // silence after which a fresh connection is tried, and between two tries
	SuspectAfter      time.Duration // silence after which a peer is suspect
	DeadAfter         time.Duration // silence towards every VM after which a peer is dead
	TakeoverDelay     time.Duration // time without an owner before ownership is acquired without a handover
	FenceAfter        time.Duration // tick gap above which this VM drops all ownership
	TickInterval      time.Duration // between two calls of Tick
}

// DefaultSettings returns the settings of the design page.
func DefaultSettings() Settings {
	return Settings{
		// 5 heartbeats of about 150 bytes a second to 8 peers stay below the 8 KB/s of a node.
		HeartbeatInterval: 200 * time.Millisecond,
		// Two lost heartbeats in a row are common under load, three point to a silent connection.
		ReconnectAfter: 600 * time.Millisecond,
		// Leaves a fresh connection two heartbeat intervals to show that only the old one was silent.
		SuspectAfter: time.Second,
		// Moving ownership earlier gains nothing, because the takeover delay has to pass anyway.
		DeadAfter: 3 * time.Second,
		// Longest attempt deadline (2.5 s), one heartbeat interval (0.2 s) and 0.3 s slack.
		TakeoverDelay: 3 * time.Second,
		// A third of Dead: a VM that pauses for less is not yet replaced when it resumes.
		FenceAfter: time.Second,
		// Half a heartbeat interval, so that a heartbeat is at most that late.
		TickInterval: 100 * time.Millisecond,
	}
}
