package soak

import "time"

const (
	// zoneA and zoneB are the availability zones of a soak's tier, in one region.
	zoneA  = "zone-a"
	zoneB  = "zone-b"
	region = "region"

	// vmCount and shardCount size the tier; each shard has a server in each zone.
	vmCount    = 4
	shardCount = 4

	// topK is the number of records in an answer of the sharded route.
	topK = 3

	// clientsPerVM send one request each every requestEvery on connections that they keep.
	clientsPerVM = 3
	requestEvery = 25 * time.Millisecond

	// deadline is how long a client waits; answers that come later than lateSlack after it break a promise.
	deadline  = 1500 * time.Millisecond
	lateSlack = 700 * time.Millisecond

	// The bounds of the platform that the soak checks.
	grace    = 6 * time.Second // from SIGTERM to the end of the process
	drain    = 3 * time.Second // from an entry that says draining to the last request
	evacuate = 5 * time.Second // from the word on a zone to the last request there
	apply    = 3 * time.Second // from a configuration to its effect
	contact  = 4 * time.Second // without faults, after which bounds hold for a VM
	recovery = 12 * time.Second

	// boundSlack is kept for a busy machine, on which timers and schedulers are late.
	boundSlack = time.Second
)
