package outcome

import "time"

const (
	// decay is the time in which an estimate loses 63% of its distance to a lower one, and refusals
	// 63% of their cost. It is short, because a service has two replicas, and avoiding one for long
	// overloads the other.
	decay = time.Second

	// maxRise bounds the growth of an estimate by one result, so that one straggler at ten times the
	// service time does not take a replica out for seconds.
	maxRise = 3.0

	// loadAge is the time for which a reported load decides between equal costs; a candidate that
	// loses by it for longer would never be tried again.
	loadAge = 2 * time.Second

	// tied is the ratio of costs up to which two candidates count as equal. Without it a replica
	// whose old estimate has decayed close to the other's would never be tried again.
	tied = 1.25

	// forgetAfter is the age from which an estimate is not used, and a count of attempts in flight is
	// taken for a leak: no attempt lasts more than 2.5 s.
	forgetAfter = 10 * time.Second

	// ejectAfter is the number of failures in a row that eject a candidate; the time starts at
	// ejectFirst and doubles with each ejection up to ejectLongest until an attempt succeeds.
	ejectAfter   = 5
	ejectFirst   = time.Second
	ejectLongest = 30 * time.Second

	// maxCandidates bounds the candidates remembered, enough for 52,000 servers at about 250 bytes
	// each, and idleAge the time for which an unused one is.
	maxCandidates = 1 << 16
	idleAge       = 10 * time.Minute

	// leastEstimate keeps an estimate apart from none.
	leastEstimate = float64(time.Microsecond)
)
