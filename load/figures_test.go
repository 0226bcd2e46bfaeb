package load

import (
	"testing"
	"time"

	"pistachioshore.dev/audit"
	"pistachioshore.dev/catalog"
	"pistachioshore.dev/result"
)

// TestLatencyFromIntendedStart guards against coordinated omission: the latency of a request that was sent late
// must be measured from the time at which it should have been sent.
func TestLatencyFromIntendedStart(t *testing.T) {
	intended := time.Unix(1000, 0)
	q := audit.Query{Answer: &audit.Answer{Covered: []string{"a"}, Missing: []string{"b"}}}
	q.Code, q.SentAt, q.ReturnedAt = result.Partial, intended.Add(90*time.Millisecond), intended.Add(100*time.Millisecond)
	c := newStatsCollector("p", "")
	c.add(q, intended, &catalog.Route{MinimumCoverage: 0.9}, 3)
	s := c.finish(time.Second)
	if s.P50 < 100 || s.P50 > 101 {
		t.Errorf("got a latency of %v ms, want 100 ms", s.P50)
	}
	if s.Coverage != 0.5 || s.ExtraLoad != 0.5 || s.Goodput != 0 {
		t.Errorf("got coverage %v, extra %v, goodput %v, want 0.5, 0.5 and 0 below the minimum coverage", s.Coverage, s.ExtraLoad, s.Goodput)
	}
}

// TestSummarize guards against a wrong median or range, which all reported timings are based on.
func TestSummarize(t *testing.T) {
	if got, want := Summarize([]float64{5, 1, 3, 2}), (Summary{Median: 2.5, Min: 1, Max: 5, N: 4}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
