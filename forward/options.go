package forward

import "time"

const (
	// processingReserve is subtracted from the latency target and the deadline, in addition to the transit
	// time, for the work of this VM before it has read the request and after the answer is decided.
	processingReserve = 3 * time.Millisecond

	// mergeReserve is subtracted in addition from the latency target of a query whose parts other VMs fan out, for the
	// work of merging them on a VM with a fifth of a core.
	mergeReserve = 5 * time.Millisecond
	// defaultTimeout applies if neither the client nor the route limits the time.
	defaultTimeout = 10 * time.Second

	// maxHedgeDelayRatio bounds the hedge delay as a ratio of the route's target latency. A hedge sent later
	// cannot answer in time.
	maxHedgeDelayRatio = 0.4

	// minHedgeDelay is the lower bound of the hedge delay. A shorter delay would hedge requests that are
	// slower only because they cross zones.
	minHedgeDelay = 8 * time.Millisecond

	// progressInterval is the time between two reports of a part that is overdue to the VM that merges the query.
	progressInterval = 20 * time.Millisecond

	// abandonGrace is how long an abandoned attempt may take to end before its connection is closed.
	abandonGrace = 5 * time.Millisecond

	// crashProbeDelay is the time between the loss of a connection and the probe of its upstream. A process that ends
	// closes its connections and its listener one after the other.
	crashProbeDelay = 20 * time.Millisecond

	// maxSharedCrashRequests is the number of requests whose crashes are sent to a VM that joins the tier. The partition of
	// a zone can look like a crash under many more requests.
	maxSharedCrashRequests = 64

	// retryBudgetUtilization is the part of the retry budget that the VM uses. The rest covers requests it
	// cannot count, such as those received by a process that was killed.
	retryBudgetUtilization = 0.85

	// hedgeTokenReserve is the number of tokens that hedges leave to retries.
	hedgeTokenReserve = 1.0

	// optionalTokenReserve is the number of tokens of an overloaded service that shards beyond the minimum coverage leave to
	// those that decide whether a query is answered.
	optionalTokenReserve = 1.0

	// defaultMaxConnections limits the connections to one upstream if its service sets no limit.
	defaultMaxConnections = 64

	// unreachableRetryAfter is the minimum, and half of the maximum, of the retry delay for a request with
	// too few reachable upstreams. The load balancer takes up to 2 s to move the client to another VM.
	unreachableRetryAfter = 400 * time.Millisecond

	// minRetryAfter is the minimum, and a fifth of the maximum, of the retry delay of other refused requests.
	minRetryAfter = 20 * time.Millisecond
)
