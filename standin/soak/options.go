package soak

import "time"

const (
	// zoneA and zoneB are the availability zones of the tier, both in one region.
	zoneA  = "zone-a"
	zoneB  = "zone-b"
	region = "region"

	// vmCount and shardCount are the size of the tier; each shard has a server in each zone.
	vmCount    = 4
	shardCount = 4

	// topK is the number of records in a response of the sharded route.
	topK = 3

	// Each of the clientsPerVM clients of a VM sends one request per requestInterval on average.
	clientsPerVM    = 3
	requestInterval = 25 * time.Millisecond

	// requestDeadline is the deadline of each request; a response later than lateSlack after it is a violation.
	requestDeadline = 1500 * time.Millisecond
	lateSlack       = 700 * time.Millisecond

	// The bounds of the platform that the soak checks.
	gracePeriod     = 6 * time.Second  // from SIGTERM to the exit of the process
	drainBound      = 3 * time.Second  // from the draining state in a server's entry to the last request to the server
	evacuationBound = 5 * time.Second  // from the evacuation of a zone to the last request there
	configBound     = 3 * time.Second  // from the publication of a configuration to its use
	recoveryTime    = 4 * time.Second  // without faults, after which the other bounds apply to a VM again
	readyTimeout    = 12 * time.Second // until all VMs are ready, at the start and after the last fault

	// A request that stops servers is sent once per crashingInterval on average. A server that it has stopped is replaced
	// after crashRecovery. Once it has stopped crashThreshold servers and the VMs have had recoveryTime, it may reach
	// maxLateCrashes more.
	crashingInterval = 300 * time.Millisecond
	crashRecovery    = 2 * time.Second
	crashThreshold   = 3
	maxLateCrashes   = 3

	// boundSlack is added to the bounds, because timers and schedulers are late on a busy host.
	boundSlack = time.Second
)
