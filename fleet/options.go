package fleet

import "time"

// Settings are the timeouts and intervals of membership and ownership. All VMs of a tier must use the
// same values.
//
// TakeoverDelay must not be shorter than DeadAfter, and FenceAfter must be shorter than DeadAfter by
// more than the longest message delay. Otherwise a VM is replaced while it still acts as the owner.
type Settings struct {
	Heartbeat time.Duration // interval between heartbeats to a peer
	Reconnect time.Duration // silence of a peer that triggers a new connection, and the interval between retries
	Suspect   time.Duration // silence after which a peer is suspect
	Dead      time.Duration // silence towards every VM after which a peer is dead
	Takeover  time.Duration // time without an owner after which a VM acquires ownership without a handover
	Fence     time.Duration // time without a tick after which this VM drops all ownership
	Tick      time.Duration // interval between calls of Tick
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		// 5 heartbeats per second of about 150 bytes to 8 peers stay within the budget of 8 KB/s per VM.
		Heartbeat: 200 * time.Millisecond,
		// Two consecutive lost heartbeats are common under load; three indicate a silent connection.
		Reconnect: 600 * time.Millisecond,
		// Gives a new connection two heartbeat intervals to show that only the old one was silent.
		Suspect: time.Second,
		// Detecting a death earlier gains nothing, because the takeover delay has to pass anyway.
		Dead: 3 * time.Second,
		// The longest attempt deadline (2.5 s), one heartbeat interval (0.2 s) and 0.3 s of slack.
		Takeover: 3 * time.Second,
		// A third of DeadAfter, so that a VM that pauses for less is not replaced before it resumes.
		Fence: time.Second,
		// Half a heartbeat interval, which bounds the delay of a heartbeat.
		Tick: 100 * time.Millisecond,
	}
}
