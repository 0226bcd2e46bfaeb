// Package balancer states how an attempt chooses among the replicas of a service.
package balancer

import (
	"math/rand/v2"
	"time"
)

// Policy chooses among candidates and learns from what was observed of them; it is safe for
// concurrent use.
type Policy[T comparable] interface {
	// Choose returns one of the candidates, which are never empty.
	Choose(now time.Time, r *rand.Rand, candidates []T) T
	// StartAttempt counts an attempt at the candidate as in flight; it is followed by one Observe.
	StartAttempt(now time.Time, candidate T)
	// Observe takes how an attempt ended.
	Observe(now time.Time, candidate T, o Observation)
}

// Observation is how one attempt ended. An attempt that is neither OK, Shed nor Cancelled has failed.
type Observation struct {
	Elapsed      time.Duration
	OK           bool // the upstream answered the request
	Shed         bool // refused for load or drain; it never takes a candidate out
	Cancelled    bool // given up because another attempt won: it took Elapsed at least
	QueueLength  int  // sub-requests that the owner VM reported in its queue
	ReportedLoad int  // load that the upstream reported of itself, which may be wrong
}

// RandomPair returns two different indices below n, which is at least 2.
func RandomPair(r *rand.Rand, n int) (int, int) {
	i := r.IntN(n)
	j := r.IntN(n - 1)
	if j >= i {
		j++
	}
	return i, j
}
