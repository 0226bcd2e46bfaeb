package outcome

import "time"

const (
	// decayTime is the time constant after which an estimate has lost 63% of its distance to a lower
	// one, and refusals have lost 63% of their cost. It is short because a service has two replicas:
	// avoiding one for long overloads the other.
	decayTime = time.Second

	// maxRiseFactor limits how much one sample can raise an estimate, so that a single straggler at
	// ten times the service time does not exclude a replica for seconds.
	maxRiseFactor = 3.0

	// loadTTL is how long a reported load can break ties. Without a limit, the candidate that lost a
	// tie would never be tried again and could not correct its report.
	loadTTL = 2 * time.Second

	// tieRatio is the cost ratio up to which two candidates count as equal. Without it, a replica whose
	// old estimate has decayed close to the other's would never be tried again.
	tieRatio = 1.25

	// forgetAfter is the age at which an estimate is discarded and a count of attempts in flight is
	// considered leaked; no attempt lasts more than 2.5 s.
	forgetAfter = 10 * time.Second

	// ejectAfter is the number of consecutive failures that eject a candidate. The first ejection
	// lasts minEjectTime, and each further one without a success in between lasts twice as long, up to
	// maxEjectTime.
	ejectAfter   = 5
	minEjectTime = time.Second
	maxEjectTime = 30 * time.Second

	// maxCandidates limits the number of tracked candidates, which take about 250 bytes each; it is
	// enough for 52,000 servers. Candidates that are unused for idleTTL are forgotten.
	maxCandidates = 1 << 16
	idleTTL       = 10 * time.Minute

	// minEstimate is the lowest estimate, because 0 stands for an unknown one.
	minEstimate = float64(time.Microsecond)
)
