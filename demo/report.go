package demo

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pistachioshore.dev/audit"
	"pistachioshore.dev/result"
)

// Range, in microseconds, and precision of the latency histogram.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

// Report holds the results of a run.
type Report struct {
	Seed       uint64       `json:"seed"`
	Elapsed    string       `json:"elapsed"`
	Firms      []FirmReport `json:"firms"`
	Violations int          `json:"violations"`
}

// FirmReport holds the results of one firm's tier.
type FirmReport struct {
	Firm             string           `json:"firm"`
	Lookups          int              `json:"look-ups"`
	Orders           int              `json:"orders"`
	Results          []CodeCount      `json:"results"`
	Coverage         float64          `json:"coverage"`        // covered shards as a share of the requested ones
	P50              float64          `json:"p50-ms"`          // of answered look-ups
	P99              float64          `json:"p99-ms"`          // of answered look-ups
	ExtraLoad        float64          `json:"extra-load"`      // sub-requests beyond one for each requested shard, as a share of those shards
	OrdersExecuted   int              `json:"orders-executed"` // executions that the upstreams counted
	Properties       []PropertyReport `json:"properties"`
	ViolationDetails []string         `json:"violation-details"`
}

// CodeCount is the number of requests that ended with a result code.
type CodeCount struct {
	Code   int    `json:"code"`
	Result string `json:"result"`
	Count  int    `json:"count"`
}

// PropertyReport is the number of violations of one property.
type PropertyReport struct {
	Property   string `json:"property"`
	Violations int    `json:"violations"`
}

// maxDetails limits the violations that a report describes in full.
const maxDetails = 20

func newFirmReport(firm string, h audit.History, violations []audit.Violation) FirmReport {
	r := FirmReport{Firm: firm, Lookups: len(h.Queries), Orders: len(h.Orders), ViolationDetails: []string{}}
	r.Results = countCodes(h)
	r.addStats(h)
	for p := audit.OneSnapshot; p <= audit.Inconclusive; p++ {
		r.Properties = append(r.Properties, PropertyReport{Property: p.String(), Violations: countViolations(violations, p)})
	}
	for _, v := range violations[:min(len(violations), maxDetails)] {
		r.ViolationDetails = append(r.ViolationDetails, v.String())
	}
	return r
}

func countCodes(h audit.History) []CodeCount {
	counts := map[result.Code]int{}
	for _, q := range h.Queries {
		counts[q.Code]++
	}
	for _, o := range h.Orders {
		counts[o.Code]++
	}
	var out []CodeCount
	for c, requests := range counts {
		name := c.String()
		if c == 0 {
			name = "connection-refused"
		}
		out = append(out, CodeCount{Code: int(c), Result: name, Count: requests})
	}
	slices.SortFunc(out, func(a, b CodeCount) int { return cmp.Compare(a.Code, b.Code) })
	return out
}

// addStats sets latency, coverage, extra load and the number of executed orders.
func (r *FirmReport) addStats(h audit.History) {
	latencies := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
	covered, requested := 0, 0
	for _, q := range h.Queries {
		if q.Answer == nil {
			continue
		}
		_ = latencies.RecordValue(q.ReturnedAt.Sub(q.SentAt).Microseconds()) // below maxLatencyMicros: the client times out earlier
		covered += len(q.Answer.Covered)
		requested += len(q.Answer.Covered) + len(q.Answer.Missing)
	}
	starts := 0
	for _, u := range h.Upstreams {
		r.OrdersExecuted += len(u.Effects)
		for _, s := range u.Starts {
			if s.Shard != "" {
				starts++
			}
		}
	}
	if requested > 0 {
		r.Coverage = float64(covered) / float64(requested)
		r.ExtraLoad = float64(starts)/float64(requested) - 1
	}
	r.P50 = float64(latencies.ValueAtQuantile(50)) / 1000
	r.P99 = float64(latencies.ValueAtQuantile(99)) / 1000
}

func countViolations(violations []audit.Violation, p audit.Property) int {
	n := 0
	for _, v := range violations {
		if v.Property == p {
			n++
		}
	}
	return n
}

func (r *Report) finish(elapsed time.Duration) {
	r.Elapsed = elapsed.Round(100 * time.Millisecond).String()
	slices.SortFunc(r.Firms, func(a, b FirmReport) int { return strings.Compare(a.Firm, b.Firm) })
	for _, f := range r.Firms {
		for _, p := range f.Properties {
			r.Violations += p.Violations
		}
	}
}

// Print writes the report as plain text.
func (r Report) Print(w io.Writer) {
	for _, f := range r.Firms {
		fmt.Fprintf(w, "\n%s: %d look-ups, %d orders sent, %d executed\n", f.Firm, f.Lookups, f.Orders, f.OrdersExecuted)
		for _, c := range f.Results {
			fmt.Fprintf(w, "  %3d %-20s %6d\n", c.Code, c.Result, c.Count)
		}
		fmt.Fprintf(w, "  coverage %.4f, p50 %.1f ms, p99 %.1f ms, extra load %.2f%%\n", f.Coverage, f.P50, f.P99, 100*f.ExtraLoad)
		fmt.Fprint(w, "  violations:")
		for _, p := range f.Properties {
			fmt.Fprintf(w, " %s %d", p.Property, p.Violations)
		}
		fmt.Fprintln(w)
		for _, d := range f.ViolationDetails {
			fmt.Fprintln(w, "   ", d)
		}
	}
	fmt.Fprintf(w, "\n%d violations in %s\n", r.Violations, r.Elapsed)
}
