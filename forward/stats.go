package forward

import (
	"time"

	"pistachioshore.dev/gather"
	"pistachioshore.dev/result"
	"pistachioshore.dev/table"
)

// maxRoutes bounds the routes that are counted by name; requests of later ones count together.
const maxRoutes = 64

// otherRoutes is the name under which requests of further routes are counted.
const otherRoutes = "other"

// boundaries are the upper ends of the latency histogram.
var boundaries = [...]time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond, 60 * time.Millisecond,
	80 * time.Millisecond, 120 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
	1600 * time.Millisecond, 5 * time.Second,
}

// RouteCode is a route with the code that its requests ended with.
type RouteCode struct {
	Route string
	Code  result.Code
}

// Histogram counts times up to each boundary; the last count has those beyond.
type Histogram struct {
	Counts [len(boundaries) + 1]uint64
	Sum    time.Duration
}

// Boundaries returns the upper ends of the histogram's counts.
func (h Histogram) Boundaries() []time.Duration {
	return boundaries[:]
}

func (h *Histogram) add(d time.Duration) {
	i := 0
	for i < len(boundaries) && d > boundaries[i] {
		i++
	}
	h.Counts[i]++
	h.Sum += d
}

// Stats counts what a VM did; it is safe for concurrent use.
type Stats struct {
	state *table.Guarded[StatsSnapshot]
}

// StatsSnapshot is the state of the counters.
type StatsSnapshot struct {
	Requests          map[RouteCode]uint64
	Latency           map[string]Histogram // by route, of all requests that ended
	ClientDisconnects uint64               // requests whose client left
	Attempts          uint64
	Hedges            uint64
	Retries           uint64
	AttemptFailures   map[result.Code]uint64 // attempts without a good answer
}

func newStats() *Stats {
	return &Stats{state: table.NewGuarded(table.RankShutdown, StatsSnapshot{
		Requests: map[RouteCode]uint64{}, Latency: map[string]Histogram{}, AttemptFailures: map[result.Code]uint64{},
	})}
}

// Snapshot returns a copy of the counters.
func (s *Stats) Snapshot() StatsSnapshot {
	return table.WithResult(s.state, func(c *StatsSnapshot) StatsSnapshot {
		out := *c
		out.Requests = cloneMap(c.Requests)
		out.Latency = cloneMap(c.Latency)
		out.AttemptFailures = cloneMap(c.AttemptFailures)
		return out
	})
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	out := make(map[K]V, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

func (s *Stats) ended(route string, code result.Code, elapsed time.Duration) {
	s.state.With(func(c *StatsSnapshot) {
		if _, ok := c.Latency[route]; !ok && len(c.Latency) >= maxRoutes {
			route = otherRoutes
		}
		c.Requests[RouteCode{route, code}]++
		h := c.Latency[route]
		h.add(elapsed)
		c.Latency[route] = h
	})
}

func (s *Stats) abandoned() {
	s.state.With(func(c *StatsSnapshot) { c.ClientDisconnects++ })
}

func (s *Stats) sent(a gather.Attempt) {
	s.state.With(func(c *StatsSnapshot) {
		c.Attempts++
		switch {
		case a.Hedge:
			c.Hedges++
		case a.Number > 1:
			c.Retries++
		}
	})
}

func (s *Stats) attemptFailed(code result.Code) {
	s.state.With(func(c *StatsSnapshot) { c.AttemptFailures[code]++ })
}
