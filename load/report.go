package load

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"

	"pistachioshore.dev/load/scenario"
)

// Report holds the results of all runs of an experiment.
type Report struct {
	Scenario scenario.Scenario `json:"scenario"`
	Seed     uint64            `json:"seed"`
	Runs     []ArmRun          `json:"runs"`
}

// Summary is the median of several values with their range.
type Summary struct {
	Median, Min, Max float64
	N                int
}

// Summarize returns the summary of values, or the zero Summary if there are none.
func Summarize(values []float64) Summary {
	if len(values) == 0 {
		return Summary{}
	}
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	median := sorted[n/2]
	if n%2 == 0 {
		median = (sorted[n/2-1] + sorted[n/2]) / 2
	}
	return Summary{Median: median, Min: sorted[0], Max: sorted[n-1], N: n}
}

// String returns the median, followed by the range if there are several values.
func (s Summary) String() string {
	if s.N < 2 {
		return fmt.Sprintf("%.4g", s.Median)
	}
	return fmt.Sprintf("%.4g [%.4g, %.4g]", s.Median, s.Min, s.Max)
}

// Arms returns the names of the arms in the order of their first run.
func (r Report) Arms() []string {
	var out []string
	for _, a := range r.Runs {
		if !slices.Contains(out, a.Arm) {
			out = append(out, a.Arm)
		}
	}
	return out
}

// PhaseRoutes returns each phase and route that has stats; only Phase and Route of the results are set.
func (r Report) PhaseRoutes() []Stats {
	var out []Stats
	for _, run := range r.Runs {
		for _, s := range run.Stats {
			same := func(k Stats) bool { return k.Phase == s.Phase && k.Route == s.Route }
			if !slices.ContainsFunc(out, same) {
				out = append(out, Stats{Phase: s.Phase, Route: s.Route})
			}
		}
	}
	return out
}

// Values returns the value of each repeat of an arm, for the phase and route of key.
func (r Report) Values(arm string, key Stats, value func(s Stats) float64) []float64 {
	var out []float64
	for _, run := range r.Runs {
		for _, s := range run.Stats {
			if run.Arm == arm && s.Phase == key.Phase && s.Route == key.Route {
				out = append(out, value(s))
			}
		}
	}
	return out
}

// Ratios returns, for each repeat, the value of an arm divided by that of the base arm.
func (r Report) Ratios(arm, base string, key Stats, value func(s Stats) float64) []float64 {
	a, b := r.Values(arm, key, value), r.Values(base, key, value)
	var out []float64
	for i := range min(len(a), len(b)) {
		if b[i] > 0 {
			out = append(out, a[i]/b[i])
		}
	}
	return out
}

// column is a value that the text and CSV reports contain.
type column struct {
	name  string
	value func(s Stats) float64
}

var columns = []column{
	{"p50 ms", func(s Stats) float64 { return s.P50 }},
	{"p95 ms", func(s Stats) float64 { return s.P95 }},
	{"p99 ms", func(s Stats) float64 { return s.P99 }},
	{"p99.9 ms", func(s Stats) float64 { return s.P999 }},
	{"coverage", func(s Stats) float64 { return s.Coverage }},
	{"extra", func(s Stats) float64 { return s.ExtraLoad }},
	{"goodput/s", func(s Stats) float64 { return s.Goodput }},
	{"shards/s", func(s Stats) float64 { return s.ShardsPerSecond }},
}

// Print writes the report as plain text, with the medians and ranges over all repeats.
func (r Report) Print(w io.Writer) {
	fmt.Fprintf(w, "scenario %s, firm %s, seed %d\n", r.Scenario.Name, r.Scenario.Firm, r.Seed)
	arms := r.Arms()
	for _, k := range r.PhaseRoutes() {
		fmt.Fprintf(w, "\nphase %s, route %s\n", k.Phase, routeLabel(k.Route))
		for _, a := range arms {
			fmt.Fprintf(w, "  %-18s", a)
			for _, c := range columns {
				fmt.Fprintf(w, "  %s %s", c.name, Summarize(r.Values(a, k, c.value)))
			}
			fmt.Fprintf(w, "  p99/%s %s\n", arms[0], Summarize(r.Ratios(a, arms[0], k, columns[2].value)))
		}
	}
	fmt.Fprintln(w)
	for _, run := range r.Runs {
		fmt.Fprintf(w, "%s repeat %d: %.2f cores, machine %.0f%% busy, %d over a cold limit, violations %v\n",
			run.Arm, run.Repeat, run.Usage.Cores, 100*run.Usage.MachineBusy, run.ColdOverloads, run.Violations)
		for _, s := range run.Stats {
			if s.Route == "" {
				fmt.Fprintf(w, "   %s: %d requests, codes %v, refused %v, missing %v\n", s.Phase, s.Requests, s.CodeCounts, s.RefusedByClass, s.MissingByReason)
			}
		}
		for _, d := range run.ViolationDetails {
			fmt.Fprintln(w, "   ", d)
		}
	}
}

func routeLabel(route string) string {
	if route == "" {
		return "(all)"
	}
	return route
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteCSV writes the report as CSV, with one row for each run, phase and route.
func (r Report) WriteCSV(w io.Writer) error {
	out := csv.NewWriter(w)
	header := []string{"scenario", "firm", "arm", "repeat", "seed", "phase", "route", "requests", "cores", "machine-busy", "over-limit-cold", "violations"}
	for _, c := range columns {
		header = append(header, c.name)
	}
	rows := [][]string{header}
	for _, run := range r.Runs {
		for _, s := range run.Stats {
			rows = append(rows, r.csvRow(run, s))
		}
	}
	return out.WriteAll(rows)
}

func (r Report) csvRow(run ArmRun, s Stats) []string {
	violations := 0
	for _, n := range run.Violations {
		violations += n
	}
	formatFloat := func(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }
	row := []string{
		r.Scenario.Name, r.Scenario.Firm, run.Arm, strconv.Itoa(run.Repeat), strconv.FormatUint(run.Seed, 10), s.Phase, s.Route,
		strconv.Itoa(s.Requests), formatFloat(run.Usage.Cores), formatFloat(run.Usage.MachineBusy), strconv.Itoa(run.ColdOverloads), strconv.Itoa(violations),
	}
	for _, c := range columns {
		row = append(row, formatFloat(c.value(s)))
	}
	return row
}

// ViolationCount returns the number of violations in all runs.
func (r Report) ViolationCount() int {
	n := 0
	for _, run := range r.Runs {
		for _, count := range run.Violations {
			n += count
		}
	}
	return n
}
