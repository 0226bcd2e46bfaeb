package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pistachioshore.dev/audit"
	"pistachioshore.dev/catalog"
	"pistachioshore.dev/result"
)

// Range, in microseconds, and precision of the latency histogram.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

// ArmRun holds the measurements of one run of one arm.
type ArmRun struct {
	Arm              string         `json:"arm"`
	Repeat           int            `json:"repeat"`
	Seed             uint64         `json:"seed"`
	Usage            Usage          `json:"usage"`
	ColdOverloads    int            `json:"over-limit-cold"` // sub-requests that exceeded the limit of a cold upstream
	Violations       map[string]int `json:"violations"`      // by property
	ViolationDetails []string       `json:"violation-details"`
	Stats            []Stats        `json:"figures"`
}

// Stats holds the measurements of one phase and one route, or of all routes if Route is empty.
type Stats struct {
	Phase           string                 `json:"phase"`
	Route           string                 `json:"route"`
	Requests        int                    `json:"requests"`
	CodeCounts      map[string]int         `json:"codes"`
	RefusedByClass  map[string]int         `json:"refused"` // by priority class
	MissingByReason map[string]int         `json:"missing"` // missing shards by reason
	P50             float64                `json:"p50-ms"`
	P95             float64                `json:"p95-ms"`
	P99             float64                `json:"p99-ms"`
	P999            float64                `json:"p99.9-ms"`
	Coverage        float64                `json:"coverage"` // covered shards as a share of the requested ones
	ExtraLoad       float64                `json:"extra"`    // sub-requests beyond one for each requested shard, as a share of those shards
	Goodput         float64                `json:"goodput"`  // answers per second that reach the route's minimum coverage
	ShardsPerSecond float64                `json:"shards"`   // covered shards per second
	LatencyBuckets  []hdrhistogram.Bracket `json:"-"`
}

// statsCollector aggregates the requests of one phase and route.
type statsCollector struct {
	stats                             Stats
	latencies                         *hdrhistogram.Histogram
	goodAnswers, requestedShards      int
	coveredShards, startedSubRequests int
}

func newStatsCollector(phase, route string) *statsCollector {
	return &statsCollector{
		stats:     Stats{Phase: phase, Route: route, CodeCounts: map[string]int{}, RefusedByClass: map[string]int{}, MissingByReason: map[string]int{}},
		latencies: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
	}
}

// add counts one request. Its latency is measured from the intended start.
func (c *statsCollector) add(q audit.Query, intended time.Time, route *catalog.Route, starts int) {
	c.stats.Requests++
	c.stats.CodeCounts[codeName(q.Code)]++
	if q.Answer == nil {
		if q.Code.Effect() == result.NotRun {
			c.stats.RefusedByClass[route.Class.String()]++
		}
		return
	}
	_ = c.latencies.RecordValue(q.ReturnedAt.Sub(intended).Microseconds()) // below maxLatencyMicros: the client times out earlier
	covered, requested := len(q.Answer.Covered), len(q.Answer.Covered)+len(q.Answer.Missing)
	c.coveredShards += covered
	c.requestedShards += requested
	c.startedSubRequests += starts
	if requested > 0 && float64(covered) >= route.MinimumCoverage*float64(requested) {
		c.goodAnswers++
	}
}

// finish returns the stats of a phase of the given duration.
func (c *statsCollector) finish(duration time.Duration) Stats {
	s := c.stats
	ms := func(q float64) float64 { return float64(c.latencies.ValueAtQuantile(q)) / 1000 }
	s.P50, s.P95, s.P99, s.P999 = ms(50), ms(95), ms(99), ms(99.9)
	if c.requestedShards > 0 {
		s.Coverage = float64(c.coveredShards) / float64(c.requestedShards)
		s.ExtraLoad = float64(c.startedSubRequests)/float64(c.requestedShards) - 1
	}
	s.Goodput = float64(c.goodAnswers) / duration.Seconds()
	s.ShardsPerSecond = float64(c.coveredShards) / duration.Seconds()
	s.LatencyBuckets = c.latencies.CumulativeDistributionWithTicks(5)
	return s
}

// codeName returns the name of a result code, or "broken" if the request ended without a response.
func codeName(c result.Code) string {
	if c == 0 {
		return "broken"
	}
	return c.String()
}

// collectResults computes the results of a run from the requests of the callers and the counts of the upstreams.
func (r *run) collectResults(repeat int, seed uint64, u Usage, violations []audit.Violation, h audit.History) ArmRun {
	out := ArmRun{Arm: r.arm.Name, Repeat: repeat + 1, Seed: seed, Usage: u, Violations: map[string]int{}, ViolationDetails: []string{}}
	for _, c := range r.tier.Upstreams().Counts() {
		out.ColdOverloads += c.ColdOverloads
	}
	for _, v := range violations {
		out.Violations[v.Property.String()]++
		if len(out.ViolationDetails) < maxDetails {
			out.ViolationDetails = append(out.ViolationDetails, v.String())
		}
	}
	starts := startsByRequest(h)
	for _, p := range r.settings.Scenario.Phases {
		allRoutes := newStatsCollector(p.Name, "")
		byRoute := map[string]*statsCollector{}
		for _, c := range r.calls {
			if c.IntendedStart < p.From.AsDuration() || c.IntendedStart >= p.To.AsDuration() || r.intendedStarts[c.Index].IsZero() {
				continue
			}
			route, ok := h.Catalog.Route(c.Route)
			if !ok {
				continue
			}
			if byRoute[c.Route] == nil {
				byRoute[c.Route] = newStatsCollector(p.Name, c.Route)
			}
			q := r.queries[c.Index]
			for _, collector := range []*statsCollector{allRoutes, byRoute[c.Route]} {
				collector.add(q, r.intendedStarts[c.Index], route, starts[q.RequestID])
				r.missingReasons.addTo(q.RequestID, collector.stats.MissingByReason)
			}
		}
		duration := p.To.AsDuration() - p.From.AsDuration()
		out.Stats = append(out.Stats, allRoutes.finish(duration))
		for _, a := range r.settings.Scenario.Arrivals {
			if collector := byRoute[a.Route]; collector != nil {
				out.Stats = append(out.Stats, collector.finish(duration))
			}
		}
	}
	return out
}

// maxDetails limits the violations that a run describes in full.
const maxDetails = 5

// startsByRequest counts the sub-requests that the upstreams started for each request.
func startsByRequest(h audit.History) map[string]int {
	n := map[string]int{}
	for _, u := range h.Upstreams {
		for _, s := range u.Starts {
			if s.Shard != "" {
				n[audit.BaseRequestID(s.RequestID)]++
			}
		}
	}
	return n
}
