package aggregator

import "time"

const (
	// minAggregatorsPerZone allows one aggregator of a zone to fail. Larger zones have one aggregator for every
	// membersPerAggregator VMs, up to maxAggregatorsPerZone, which keeps the aggregators of three zones within the
	// 30 connections of a shard server.
	minAggregatorsPerZone = 2
	membersPerAggregator  = 25
	maxAggregatorsPerZone = 8

	// maxFullMeshSize is the largest tier in which every VM fans out its own queries and exchanges heartbeats with
	// all others. Shard servers handle about 25 to 30 connections, so in a larger tier each VM would get fewer
	// than two.
	maxFullMeshSize = 16

	// introductionPeriod is the time for which a newly discovered VM stays connected, so that it learns about the
	// tier from whichever VM it contacted.
	introductionPeriod = 5 * time.Second

	// selectionTTL is the time for which a selection of aggregators stays valid while no VM joins or leaves.
	selectionTTL = 200 * time.Millisecond

	// heartbeatTimeout is the time without a heartbeat after which a VM is no longer eligible as an aggregator.
	heartbeatTimeout = 4 * time.Second

	// leavingSilence is the time after the last heartbeat of a leaving VM from which on a report of it shows that it has
	// started again. While it stops, it sends heartbeats each second.
	leavingSilence = 2 * time.Second

	// memberRetention is the time for which a VM without heartbeats still counts as sharing the limits. A
	// partitioned VM continues to send requests, and the platform measures budgets over 10 s.
	memberRetention = 25 * time.Second

	// discoveryPeriod is the time after startup until the known VMs are considered complete.
	discoveryPeriod = 4 * time.Second

	// assumedMembers is the minimum tier size assumed during discoveryPeriod. Small tiers have 6 to 8 VMs.
	assumedMembers = 8

	// sameZoneShare is the fraction of an upstream's request limit that is reserved for the VMs of its zone.
	sameZoneShare = 0.8

	// aggregatorShare is the fraction of the limits for sharded queries that is reserved for the aggregators.
	aggregatorShare = 0.8

	// initialBackoff and maxBackoff bound the time for which an aggregator that did not accept a query is skipped.
	// initialBackoff exceeds the stall of a VM that is throttled after using up its CPU quota.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 8 * time.Second
)
