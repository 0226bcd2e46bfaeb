package budget

import "time"

const (
	// MaxBurst is the most tokens that a budget holds. A fan-out to 440 servers earns 44 retries at the
	// usual share of 0.1; more would let a quiet hour pay for a storm of attempts.
	MaxBurst = 50

	// InitialRetries are the retries that a VM may send before it has earned any. It starts without
	// hedges, so that they stay within their share of the primaries at any time.
	InitialRetries = 5

	// ReplyMargin is the time that each hop keeps from the deadline for the way back.
	ReplyMargin = 2 * time.Millisecond

	// MaxAttemptDuration is the longest deadline of one attempt. The takeover delay of an owner VM (3 s)
	// rests on it.
	MaxAttemptDuration = 2500 * time.Millisecond
)
