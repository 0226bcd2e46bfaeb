// Package balancer selects the replica of a service that an attempt is sent to.
//
// A Policy implements one load-balancing algorithm; the subpackages outcome, roundrobin and twochoices
// provide them. A Chooser combines a policy with the latency estimates that hedging relies on.
package balancer

import (
	"math/rand/v2"
	"time"
)

// Policy is a load-balancing algorithm that learns from the outcomes of attempts. Implementations are
// safe for concurrent use.
type Policy[T comparable] interface {
	// Choose returns one of the candidates; there is always at least one.
	Choose(now time.Time, r *rand.Rand, candidates []T) T
	// StartAttempt counts an attempt to the candidate as in flight. The caller must call Observe once
	// for each started attempt.
	StartAttempt(now time.Time, candidate T)
	// Observe records the outcome of an attempt that is no longer in flight.
	Observe(now time.Time, candidate T, o Observation)
}

// Observation is the outcome of one attempt. An attempt that is neither OK, Shed nor Cancelled failed.
type Observation struct {
	Elapsed      time.Duration // time since the attempt was sent
	OK           bool          // the upstream answered the request
	Shed         bool          // refused because of load or draining; does not count towards ejection
	Cancelled    bool          // abandoned because another attempt won; Elapsed is a lower bound of its latency
	QueueLength  int           // length of the owner VM's queue of sub-requests, as it reported it
	ReportedLoad int           // load that the upstream reported about itself; it may be wrong
}

// RandomPair returns two distinct random indices below n, which must be at least 2.
func RandomPair(r *rand.Rand, n int) (int, int) {
	i := r.IntN(n)
	j := r.IntN(n - 1)
	if j >= i {
		j++
	}
	return i, j
}
