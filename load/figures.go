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
	leastLatency = 1
	mostLatency  = 60_000_000
	digits       = 3
)

// ArmRun holds the measurements of one run of one arm.
type ArmRun struct {
	Arm              string         `json:"arm"`
	Repeat           int            `json:"repeat"`
	Seed             uint64         `json:"seed"`
	Usage            Usage          `json:"usage"`
	ColdOverloads    int            `json:"over-limit-cold"` // sub-requests that exceeded the limit of a cold upstream
	Violations       map[string]int `json:"violations"`
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
type tally struct {
	figures          Stats
	latencies        *hdrhistogram.Histogram
	good, asked      int
	covered, started int
}

func newTally(phase, route string) *tally {
	return &tally{
		figures:   Stats{Phase: phase, Route: route, CodeCounts: map[string]int{}, RefusedByClass: map[string]int{}, MissingByReason: map[string]int{}},
		latencies: hdrhistogram.New(leastLatency, mostLatency, digits),
	}
}

// add counts one request. Its latency is measured from the intended start.
func (t *tally) add(q audit.Query, intended time.Time, route *catalog.Route, starts int) {
	t.figures.Requests++
	t.figures.CodeCounts[codeName(q.Code)]++
	if q.Answer == nil {
		if q.Code.Effect() == result.NotRun {
			t.figures.RefusedByClass[route.Class.String()]++
		}
		return
	}
	_ = t.latencies.RecordValue(q.ReturnedAt.Sub(intended).Microseconds()) // below maxLatencyMicros: the client times out earlier
	covered, asked := len(q.Answer.Covered), len(q.Answer.Covered)+len(q.Answer.Missing)
	t.covered += covered
	t.asked += asked
	t.started += starts
	if asked > 0 && float64(covered) >= route.MinimumCoverage*float64(asked) {
		t.good++
	}
}

func (t *tally) finish(length time.Duration) Stats {
	f := t.figures
	ms := func(q float64) float64 { return float64(t.latencies.ValueAtQuantile(q)) / 1000 }
	f.P50, f.P95, f.P99, f.P999 = ms(50), ms(95), ms(99), ms(99.9)
	if t.asked > 0 {
		f.Coverage = float64(t.covered) / float64(t.asked)
		f.ExtraLoad = float64(t.started)/float64(t.asked) - 1
	}
	f.Goodput = float64(t.good) / length.Seconds()
	f.ShardsPerSecond = float64(t.covered) / length.Seconds()
	f.LatencyBuckets = t.latencies.CumulativeDistributionWithTicks(5)
	return f
}

func codeName(c result.Code) string {
	if c == 0 {
		return "broken"
	}
	return c.String()
}

// collectResults computes the results of a run from the requests of the callers and the counts of the upstreams.
func (r *run) measure(repeat int, seed uint64, u Usage, violations []audit.Violation, h audit.History) ArmRun {
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
		all := newTally(p.Name, "")
		byRoute := map[string]*tally{}
		for _, c := range r.calls {
			if c.IntendedStart < p.From.AsDuration() || c.IntendedStart >= p.To.AsDuration() || r.intended[c.Index].IsZero() {
				continue
			}
			route, ok := h.Catalog.Route(c.Route)
			if !ok {
				continue
			}
			if byRoute[c.Route] == nil {
				byRoute[c.Route] = newTally(p.Name, c.Route)
			}
			q := r.queries[c.Index]
			for _, t := range []*tally{all, byRoute[c.Route]} {
				t.add(q, r.intended[c.Index], route, starts[q.RequestID])
				r.missing.count(q.RequestID, t.figures.MissingByReason)
			}
		}
		length := p.To.AsDuration() - p.From.AsDuration()
		out.Stats = append(out.Stats, all.finish(length))
		for _, a := range r.settings.Scenario.Arrivals {
			if t := byRoute[a.Route]; t != nil {
				out.Stats = append(out.Stats, t.finish(length))
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
