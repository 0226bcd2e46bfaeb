package relay

import "time"

const (
	// hop is the time kept for the way between two VMs and back, with the encoding on a fifth of a core.
	hop = 4 * time.Millisecond

	// acceptLimit is the time in which an aggregator says that it has begun. A VM whose processor allowance
	// is used up stands still for most of a tenth of a second, and a second run costs each shard an attempt.
	acceptLimit = 60 * time.Millisecond

	// timerSlack is how late a timer fires on a VM that does not stand still.
	timerSlack = 10 * time.Millisecond

	// maxTries is the number of aggregators that one query is passed on to.
	maxTries = 2

	// againShare and againBurst bound the queries that are passed on a second time although the first
	// aggregator may have begun with them. They draw on the same retry budget as attempts at upstreams.
	againShare = 0.05
	againBurst = 1

	// workers is the number of queries of other VMs that are under way at once.
	workers = 128
)
