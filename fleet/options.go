package fleet

import "time"

// Settings are the timeouts and intervals of membership and ownership. All VMs of a tier must use the
// same values.
//
// TakeoverDelay must not be shorter than DeadAfter, and FenceAfter must be shorter than DeadAfter by
// more than the longest message delay. Otherwise a VM is replaced while it still acts as the owner.
type Settings struct {
	HeartbeatInterval time.Duration // interval between heartbeats to a peer
	ReconnectAfter    time.Duration // silence of a peer that triggers a new connection, and the interval between retries
	SuspectAfter      time.Duration // silence after which a peer is suspect
	DeadAfter         time.Duration // silence towards every VM after which a peer is dead
	TakeoverDelay     time.Duration // time without an owner after which a VM acquires ownership without a handover
	FenceAfter        time.Duration // time without a tick after which this VM drops all ownership
	TickInterval      time.Duration // interval between calls of Tick
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		// 5 heartbeats per second of about 150 bytes to 8 peers stay within the budget of 8 KB/s per VM.
		HeartbeatInterval: 200 * time.Millisecond,
		// Two consecutive lost heartbeats are common under load; three indicate a silent connection.
		ReconnectAfter: 600 * time.Millisecond,
		// Gives a new connection two heartbeat intervals to show that only the old one was silent.
		SuspectAfter: time.Second,
		// Detecting a death earlier gains nothing, because the takeover delay has to pass anyway.
		DeadAfter: 3 * time.Second,
		// The longest attempt deadline (2.5 s), one heartbeat interval (0.2 s) and 0.3 s of slack.
		TakeoverDelay: 3 * time.Second,
		// A third of DeadAfter, so that a VM that pauses for less is not replaced before it resumes.
		FenceAfter: time.Second,
		// Half a heartbeat interval, which bounds the delay of a heartbeat.
		TickInterval: 100 * time.Millisecond,
	}
}
