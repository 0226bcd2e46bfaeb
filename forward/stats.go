package forward

import (
	"time"

	"pistachioshore.dev/gather"
	"pistachioshore.dev/result"
	"pistachioshore.dev/table"
)

// maxRoutes limits the routes that are counted by name, to bound the number of metric series.
const maxRoutes = 64

// otherRoute is the name that all further routes are counted under.
const otherRoute = "other"

// bucketBounds are the upper bounds of the latency histogram's buckets.
var bucketBounds = [...]time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond, 60 * time.Millisecond,
	80 * time.Millisecond, 120 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
	1600 * time.Millisecond, 5 * time.Second,
}

// RouteCode is a route and the code of the answer, by which requests are counted.
type RouteCode struct {
	Route string
	Code  result.Code
}

// countedPriorities is the number of priorities that requests are counted by, to bound the number of metric series. Less
// urgent priorities than the last one count as that one.
const countedPriorities = 8

// countedPriority returns the priority that a request is counted by.
func countedPriority(priority int) int {
	return min(max(priority, 0), countedPriorities-1)
}

// TeamCode is the priority of requests of teams with the code of their refusal, or Complete if they were admitted.
type TeamCode struct {
	Priority int // less than countedPriorities
	Code     result.Code
}

// Histogram counts durations per bucket. The last bucket has no upper bound.
type Histogram struct {
	Counts [len(bucketBounds) + 1]uint64 // durations in each bucket
	Sum    time.Duration                 // sum of all durations
}

// Boundaries returns the upper bounds of all buckets but the last.
func (h Histogram) Boundaries() []time.Duration {
	return bucketBounds[:]
}

func (h *Histogram) add(d time.Duration) {
	i := 0
	for i < len(bucketBounds) && d > bucketBounds[i] {
		i++
	}
	h.Counts[i]++
	h.Sum += d
}

// Stats counts the requests and attempts of a VM. It is safe for concurrent use.
type Stats struct {
	state *table.Guarded[StatsSnapshot]
}

// StatsSnapshot holds the values of the counters at one time.
type StatsSnapshot struct {
	Requests          map[RouteCode]uint64 // answered requests, including refused ones
	Latency           map[string]Histogram // of the same requests, by route
	ClientDisconnects uint64               // requests whose client disconnected
	Attempts          uint64               // attempts sent by this VM, including hedges and retries
	Hedges            uint64
	Retries           uint64
	AttemptFailures   map[result.Code]uint64 // failed attempts by code
	Teams             map[TeamCode]uint64    // requests of teams, by urgency and whether they were admitted
	Waiting           WaitStats
}

func newStats() *Stats {
	return &Stats{state: table.NewGuarded(table.RankShutdown, StatsSnapshot{
		Requests: map[RouteCode]uint64{}, Latency: map[string]Histogram{}, AttemptFailures: map[result.Code]uint64{}, Teams: map[TeamCode]uint64{},
	})}
}

// Snapshot returns a copy of the counters.
func (s *Stats) Snapshot() StatsSnapshot {
	return table.WithResult(s.state, func(c *StatsSnapshot) StatsSnapshot {
		out := *c
		out.Requests = cloneMap(c.Requests)
		out.Latency = cloneMap(c.Latency)
		out.AttemptFailures = cloneMap(c.AttemptFailures)
		out.Teams = cloneMap(c.Teams)
		out.Waiting = c.Waiting.clone()
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

func (s *Stats) recordRequest(route string, code result.Code, elapsed time.Duration) {
	s.state.With(func(c *StatsSnapshot) {
		if _, ok := c.Latency[route]; !ok && len(c.Latency) >= maxRoutes {
			route = otherRoute
		}
		c.Requests[RouteCode{route, code}]++
		h := c.Latency[route]
		h.add(elapsed)
		c.Latency[route] = h
	})
}

func (s *Stats) recordDisconnect() {
	s.state.With(func(c *StatsSnapshot) { c.ClientDisconnects++ })
}

func (s *Stats) recordAttempt(a gather.Attempt) {
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

func (s *Stats) recordFailure(code result.Code) {
	s.state.With(func(c *StatsSnapshot) { c.AttemptFailures[code]++ })
}

// recordTeam counts a request of a team that was admitted, with code Complete, or refused.
func (s *Stats) recordTeam(code result.Code, priority int) {
	key := TeamCode{Priority: countedPriority(priority), Code: code}
	s.state.With(func(c *StatsSnapshot) { c.Teams[key]++ })
}
