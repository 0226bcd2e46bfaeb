package replica

import "time"

const (
	// forgetting is the time in which what was observed of a replica loses 63% of its weight. A slow
	// upstream is tried again after about twice that, and one that has recovered gets work back.
	forgetting = 3 * time.Second

	// loadAge is the time for which a reported load is believed; other VMs change it meanwhile.
	loadAge = 300 * time.Millisecond

	// stallFactor and stallFloor say when the oldest attempt is overdue: typical times, and at least
	// this long. Fewer would take slow requests, of which one in a hundred takes five times as long,
	// for a stall.
	stallFactor = 3.0
	stallFloor  = 25 * time.Millisecond

	// defaultTypical stands for the median of requests of which none was seen.
	defaultTypical = 20 * time.Millisecond

	// mostSlowness bounds the factor by which a replica is held to be slower than others.
	mostSlowness = 30.0

	// failureCost is the cost of a certain failure, in typical times: the retry starts after it.
	failureCost = 6.0

	// homeBonus is the factor on the cost of a replica in the VM's own zone, which saves 2 ms and the
	// traffic between zones.
	homeBonus = 0.85

	// ejectAfter is the number of connection failures in a row that take a replica out; the time
	// doubles from ejectFirst to ejectLongest.
	ejectAfter   = 2
	ejectFirst   = 200 * time.Millisecond
	ejectLongest = 1600 * time.Millisecond

	// crashMemory is the time between a broken connection and a refused one that makes them one crash.
	crashMemory = 2 * time.Second

	// coldWindow is the span over which the requests to a cold upstream are counted.
	coldWindow = time.Second
)
