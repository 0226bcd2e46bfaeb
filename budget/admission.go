package budget

import (
	"math/rand/v2"
	"time"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/table"
)

// percent is the share of the limit up to which each class is admitted, in the order of
// catalog.ClassNames. What a less urgent class may not use is left for the more urgent ones.
var percent = [...]int{catalog.Urgent: 100, catalog.Normal: 80, catalog.Background: 50}

// Admission bounds the requests that a VM has accepted and not answered; it is safe for concurrent use.
type Admission struct {
	state *table.Guarded[admission]
}

type admission struct {
	limit    int
	inFlight int
	refused  [len(percent)]uint64
}

// NewAdmission returns an admission control that allows limit requests in flight.
func NewAdmission(limit int) *Admission {
	return &Admission{state: table.NewGuarded(table.RankBudget, admission{limit: limit})}
}

// SetLimit changes the limit; requests in flight beyond it go on.
func (a *Admission) SetLimit(limit int) {
	a.state.With(func(s *admission) { s.limit = limit })
}

// Admit reports whether a request of the class is accepted; if so, Done has to be called once.
func (a *Admission) Admit(class catalog.Class) bool {
	c := known(class)
	return table.WithResult(a.state, func(s *admission) bool {
		if s.inFlight >= share(s.limit, percent[c]) {
			s.refused[c]++
			return false
		}
		s.inFlight++
		return true
	})
}

// Done ends a request that Admit accepted.
func (a *Admission) Done(catalog.Class) {
	a.state.With(func(s *admission) { s.inFlight = max(s.inFlight-1, 0) })
}

// InFlight returns the number of requests accepted and not ended.
func (a *Admission) InFlight() int {
	return table.WithResult(a.state, func(s *admission) int { return s.inFlight })
}

// RefusedCount returns the number of requests of the class refused since the start.
func (a *Admission) RefusedCount(class catalog.Class) uint64 {
	return table.WithResult(a.state, func(s *admission) uint64 { return s.refused[known(class)] })
}

// RetryAfter returns the time after which a refused caller should try again: from half to one and
// a half times the mean, so that the callers of one overload do not return together.
func RetryAfter(r *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(r.Float64()*float64(mean))
}

// known takes a class that is not defined for the least urgent one.
func known(class catalog.Class) catalog.Class {
	if class < catalog.Urgent || class > catalog.Background {
		return catalog.Background
	}
	return class
}

// share rounds up, so that a small limit shuts out no class altogether.
func share(limit, percent int) int {
	return (limit*percent + 99) / 100
}
