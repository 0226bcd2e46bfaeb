package fleet

import "time"

// Settings are the intervals that govern membership and ownership; all VMs of a tier use the same.
//
// Takeover must not be below Dead, and Fence must be below Dead by more than the longest message delay:
// otherwise a VM is replaced while it still acts as the owner.
type Settings struct {
	Heartbeat time.Duration // between two heartbeats to a peer
	Reconnect time.Duration // silence after which a fresh connection is tried, and between two tries
	Suspect   time.Duration // silence after which a peer is suspect
	Dead      time.Duration // silence towards every VM after which a peer is dead
	Takeover  time.Duration // time without an owner before ownership is acquired without a handover
	Fence     time.Duration // tick gap above which this VM drops all ownership
	Tick      time.Duration // between two calls of Tick
}

// DefaultSettings returns the settings of the design page.
func DefaultSettings() Settings {
	return Settings{
		// 5 heartbeats of about 150 bytes a second to 8 peers stay below the 8 KB/s of a node.
		Heartbeat: 200 * time.Millisecond,
		// Two lost heartbeats in a row are common under load, three point to a silent connection.
		Reconnect: 600 * time.Millisecond,
		// Leaves a fresh connection two heartbeat intervals to show that only the old one was silent.
		Suspect: time.Second,
		// Moving ownership earlier gains nothing, because the takeover delay has to pass anyway.
		Dead: 3 * time.Second,
		// Longest attempt deadline (2.5 s), one heartbeat interval (0.2 s) and 0.3 s slack.
		Takeover: 3 * time.Second,
		// A third of Dead: a VM that pauses for less is not yet replaced when it resumes.
		Fence: time.Second,
		// Half a heartbeat interval, so that a heartbeat is at most that late.
		Tick: 100 * time.Millisecond,
	}
}
