package forward

import "time"

const (
	// returnPath is kept from the target and the deadline, besides the transit, for what this VM does
	// before it has read the request and after it has decided the answer.
	returnPath = 3 * time.Millisecond

	// defaultDeadline holds for a client that names none on a route without a timeout.
	defaultDeadline = 10 * time.Second

	// hedgeTargetShare bounds the hedge delay as a share of the route's target: a hedge that starts later
	// cannot answer in time.
	hedgeTargetShare = 0.4

	// hedgeFloor is the least hedge delay; shorter ones would double requests that only crossed a zone.
	hedgeFloor = 8 * time.Millisecond

	// lateAnswer is how long an attempt that nobody waits for may take to end before its connection is closed.
	lateAnswer = 5 * time.Millisecond

	// budgetUse is the part of the retry budget that is used; the rest covers arrivals that the VM
	// cannot see, such as those of a process that was killed.
	budgetUse = 0.85

	// hedgeReserve are the tokens that hedges leave to retries.
	hedgeReserve = 1.0

	// mostConnections bounds the connections to one upstream where its service names no limit.
	mostConnections = 64

	// unreachableRetryAfter is half of the longest time after which a client returns whose request found
	// too few upstreams; the load balancer takes up to 2 s to move it.
	unreachableRetryAfter = 400 * time.Millisecond

	// leastRetryAfter and mostRetryAfter bound the time after which a refused client returns.
	leastRetryAfter = 20 * time.Millisecond
	mostRetryAfter  = time.Second
)
