package budget

import (
	"math/rand/v2"
	"time"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/table"
)

// classPercent is the percentage of the limit up to which requests are admitted, by class. The rest of the limit is
// reserved for the more urgent classes.
var classPercent = [...]int{catalog.Urgent: 100, catalog.Normal: 80, catalog.Background: 50}

// Admission limits the requests in flight at a VM. It is safe for concurrent use.
type Admission struct {
	state *table.Guarded[admission]
}

type admission struct {
	limit    int
	inFlight int
	refused  [len(classPercent)]uint64
}

// NewAdmission returns an admission control that allows up to limit requests in flight.
func NewAdmission(limit int) *Admission {
	return &Admission{state: table.NewGuarded(table.RankBudget, admission{limit: limit})}
}

// SetLimit changes the limit. Requests in flight beyond a lower limit continue.
func (a *Admission) SetLimit(limit int) {
	a.state.With(func(s *admission) { s.limit = limit })
}

// Admit reports whether a request of the class is admitted. If it is, the caller must call Done exactly once.
func (a *Admission) Admit(class catalog.Class) bool {
	c := normalizeClass(class)
	return table.WithResult(a.state, func(s *admission) bool {
		if s.inFlight >= percentOf(s.limit, classPercent[c]) {
			s.refused[c]++
			return false
		}
		s.inFlight++
		return true
	})
}

// Done releases a request admitted by Admit. It ignores the class, because all classes share one count.
func (a *Admission) Done(catalog.Class) {
	a.state.With(func(s *admission) { s.inFlight = max(s.inFlight-1, 0) })
}

// InFlight returns the number of admitted requests that have not ended.
func (a *Admission) InFlight() int {
	return table.WithResult(a.state, func(s *admission) int { return s.inFlight })
}

// RefusedCount returns the number of requests of the class that have been refused.
func (a *Admission) RefusedCount(class catalog.Class) uint64 {
	return table.WithResult(a.state, func(s *admission) uint64 { return s.refused[normalizeClass(class)] })
}

// RetryAfter returns the delay after which a refused caller should retry. The delay is drawn from r, between 0.5 and 1.5
// times the mean, so that callers refused during the same overload do not retry at the same time.
func RetryAfter(r *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(r.Float64()*float64(mean))
}

// normalizeClass maps an undefined class to the least urgent one.
func normalizeClass(class catalog.Class) catalog.Class {
	if class < catalog.Urgent || class > catalog.Background {
		return catalog.Background
	}
	return class
}

// percentOf returns the given percentage of limit, rounded up so that a small limit still admits every class.
func percentOf(limit, percent int) int {
	return (limit*percent + 99) / 100
}
