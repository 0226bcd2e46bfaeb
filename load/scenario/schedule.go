package scenario

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Call is a scheduled request.
type Call struct {
	IntendedStart time.Duration // since the start of the run
	Route         string
	Index         int // position in the schedule
}

// Schedule returns the requests of a run in the order of their intended starts. The arrivals of a route are a Poisson
// process, with exponentially distributed gaps. The schedule depends only on the scenario and the seed, so that all
// arms receive the same load.
func (s Scenario) Schedule(seed uint64) []Call {
	var calls []Call
	for i, a := range s.Arrivals {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		for _, at := range a.arrivalTimes(r, s.Duration.AsDuration()) {
			calls = append(calls, Call{IntendedStart: at, Route: a.Route})
		}
	}
	slices.SortStableFunc(calls, func(a, b Call) int { return int(a.IntendedStart - b.IntendedStart) })
	for i := range calls {
		calls[i].Index = i
	}
	return calls
}

func (a Arrival) arrivalTimes(r *rand.Rand, end time.Duration) []time.Duration {
	var out []time.Duration
	for i, rate := range a.Rates {
		until := end
		if i+1 < len(a.Rates) {
			until = a.Rates[i+1].From.AsDuration()
		}
		if rate.PerSecond == 0 {
			continue
		}
		at := rate.From.AsDuration()
		for {
			at += time.Duration(r.ExpFloat64() / rate.PerSecond * float64(time.Second))
			if at >= until {
				break
			}
			out = append(out, at)
		}
	}
	return out
}
