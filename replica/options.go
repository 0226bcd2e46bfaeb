package replica

import "time"

const (
	// decayTime is the time in which the observations of a replica lose 63% of their weight. A slow upstream
	// is tried again after about twice that time, so that one that has recovered receives requests again.
	decayTime = 3 * time.Second

	// maxLoadAge is the time for which a reported load is used. Requests of other VMs soon change it.
	maxLoadAge = 300 * time.Millisecond

	// A replica is stalled if its oldest attempt has taken longer than stallFactor times the expected
	// latency, and at least minStallAge. Lower limits would mistake slow requests for a stall: one request
	// in a hundred takes five times the median.
	stallFactor = 3.0
	minStallAge = 25 * time.Millisecond

	// defaultWork is the assumed work of a request whose work is not known.
	defaultWork = 20 * time.Millisecond

	// minWork is the least work that costs are multiples of. Below it, the network decides about the time of an attempt.
	minWork = 100 * time.Microsecond

	// Reported slowdowns are used within these bounds. Neighbours slow an upstream down by 2.5; a faulty report must neither
	// attract all requests nor keep them away.
	minSlowdown = 0.5
	maxSlowdown = 10.0

	// claimRatio is the ratio of the expected durations with and without a report from which an attempt tells whether the
	// report is right.
	claimRatio = 1.5

	// maxClaimAge is the longest time between the reports before and after an attempt that contradict it together.
	maxClaimAge = 2 * time.Second

	// agreementWeight is the weight of one attempt in the share of reports that were not contradicted.
	agreementWeight = 0.15

	// Reports are ignored at an agreement of minAgreement or less and count fully from minAgreement+1/credibilityGain on.
	// With exponentially distributed work, half of the right reports of a slowdown of 2.5 seem contradicted, and four
	// fifths of the wrong ones.
	minAgreement    = 0.25
	credibilityGain = 3.0

	// Reports are checked with the observed speed within these bounds and 1, on the side on which it does not explain them.
	// It adapts to a constant false report, and to right ones that are ignored.
	minClaimSpeed = 0.7
	maxClaimSpeed = 1.4

	// Candidates that cost less than a multiple of the lowest cost are drawn at random: nearEqualRatio for a single VM, and
	// up to nearEqualRatio+nearEqualSpread with more VMs that may choose the same upstream at the same moment.
	nearEqualRatio  = 1.1
	nearEqualSpread = 0.3

	// maxSlowness is the upper bound of an observed slowness.
	maxSlowness = 30.0

	// failureCost is the cost of a certain failure in median latencies, because the retry starts after it.
	failureCost = 6.0

	// remoteZoneCost is added to the cost of a replica outside the VM's own zone, in median latencies. It stands for the
	// way there and for the traffic between zones. It is less than what a replica costs that is busy, slow or failing.
	remoteZoneCost = 1.0

	// A replica is ejected after ejectThreshold consecutive connection failures. The ejection time doubles
	// from minEjectTime to maxEjectTime.
	ejectThreshold = 2
	minEjectTime   = 200 * time.Millisecond
	maxEjectTime   = 1600 * time.Millisecond

	// crashWindow is the longest time between a lost connection and a refused one that count as a crash.
	crashWindow = 2 * time.Second

	// maxRest is the longest time for which an upstream may ask for no requests. It bounds the harm of a faulty value.
	maxRest = 5 * time.Minute

	// noticeRetention is the time for which the notices of an upstream are remembered. It is longer than maxRest and than
	// the time that a draining upstream takes to leave. maxNotices bounds the upstreams that are remembered.
	noticeRetention = 10 * time.Minute
	maxNotices      = 4096

	// limitBurst is the time over which a VM may save up its share of an upstream's request limit. Longer bursts of all
	// VMs together would exceed the limit for seconds.
	limitBurst = 250 * time.Millisecond

	// minLimitRate is the least number of requests a second that a VM may send to an upstream with a request limit. Its
	// answers are what tells this VM that the limit has ended.
	minLimitRate = 0.1

	// tokenTolerance is the part of a token that may be missing because of rounding.
	tokenTolerance = 1e-6

	// coldWindow is the period over which the requests to a cold upstream are limited.
	coldWindow = time.Second
)
