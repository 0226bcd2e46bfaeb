package budget

import "time"

const (
	// MaxBurst is the maximum number of tokens in a bucket. A fan-out to 440 servers earns 44 retries at the usual share
	// of 0.1. With a higher limit, tokens saved up during a quiet hour would allow a retry storm.
	MaxBurst = 50

	// InitialRetries is the number of retries that a VM may send before it has earned any. A VM starts without tokens for
	// hedges, so that hedges never exceed their share of the primaries.
	InitialRetries = 5

	// ReplyMargin is the time that each hop subtracts from the deadline to leave time for returning the response.
	ReplyMargin = 2 * time.Millisecond

	// MaxAttemptDuration is the longest deadline of a single attempt. The owner VM of an upstream sends all requests to
	// it. If the owner VM is lost, another VM takes over after 3 s, when the attempts of the lost one have ended.
	MaxAttemptDuration = 2500 * time.Millisecond
)
