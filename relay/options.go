package relay

import "time"

const (
	// hopTime is the time reserved for the round trip between two VMs, including encoding on a VM with a fifth of a
	// core.
	hopTime = 8 * time.Millisecond

	// acceptTimeout is the time within which an aggregator must accept a query. A VM that has used up its CPU quota
	// is throttled for most of 100 ms, and a second run of the query costs one attempt at each shard.
	acceptTimeout = 60 * time.Millisecond

	// timerSlack is the greatest delay of a timer on a VM that is not paused.
	timerSlack = 10 * time.Millisecond

	// maxAggregators is the maximum number of aggregators to which one query is forwarded.
	maxAggregators = 2

	// secondRunShare and secondRunBurst limit the queries that are forwarded to a second aggregator although the
	// first may already be running them. Such second runs count against the same retry budget as attempts at
	// upstreams.
	secondRunShare = 0.05
	secondRunBurst = 1

	// workerCount is the maximum number of queries of other VMs that run concurrently.
	workerCount = 128
)
