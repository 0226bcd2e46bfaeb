package aggregator

import "time"

const (
	// leastSeats is the least number of aggregators of a zone: one, and one in case it fails. There is one for
	// each membersPerSeat VMs of the zone, up to mostSeats: three zones then keep to the 30 connections of a server.
	leastSeats     = 2
	membersPerSeat = 25
	mostSeats      = 8

	// meshLimit is the largest tier in which each VM fans out by itself and hears all others. Servers of
	// shards bear some 25 to 30 connections; with more VMs each would have less than two.
	meshLimit = 16

	// awayLinks is the number of aggregators of other zones that a VM keeps in touch with.
	awayLinks = 2

	// introduction is the time for which a VM that was just found is told of the tier, whoever it reached.
	introduction = 5 * time.Second

	// chooseEvery is the time for which the choice of aggregators holds while no VM comes or leaves.
	chooseEvery = 200 * time.Millisecond

	// silentAfter is the silence after which a VM is no aggregator.
	silentAfter = 4 * time.Second

	// remembered is how long a silent VM counts as one that shares limits. A VM behind a partition goes
	// on sending, and the platform's budgets are counted over 10 s.
	remembered = 25 * time.Second

	// settled is the time after which the VMs that were heard are taken for all there are.
	settled = 4 * time.Second

	// assumedMembers is the number of VMs assumed until then; the small tiers have 6 to 8.
	assumedMembers = 8

	// aggregatorsPart is the part of the limits for queries over shards that the aggregators use.
	aggregatorsPart = 0.8

	// avoidFirst and avoidLongest bound the time for which an aggregator that did not take a query is
	// avoided. The first is above a stall of a VM whose processor allowance is used up.
	avoidFirst   = 500 * time.Millisecond
	avoidLongest = 8 * time.Second
)
