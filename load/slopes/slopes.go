// Package slopes measures how the CPU time, latency and memory of the tier grow with the fan-out and with the numbers
// of VMs, upstreams and servers.
package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"pistachioshore.dev/load"
)

// Settings configures a measurement.
type Settings struct {
	Seed     uint64
	Pairs    int       // number of pairs; a pair measures queries through the tier, then direct calls
	Queries  int       // number of queries, and of direct calls, in each pair
	Progress io.Writer // one line for each row; discarded if nil
}

// Row is one measured value, summarized over its repetitions.
type Row struct {
	Part   string  `json:"part"`
	Size   int     `json:"size"` // number of the items that Part measures, such as shards, VMs or servers
	Name   string  `json:"name"`
	Unit   string  `json:"unit"`
	Min    float64 `json:"least"`
	Median float64 `json:"median"`
	Max    float64 `json:"most"`
	N      int     `json:"n"`
}

// Report holds all rows in the order of measurement.
type Report struct {
	Rows []Row `json:"rows"`
}

// bench runs the measurements and collects their rows.
type bench struct {
	settings Settings
	report   Report
}

// Run measures the named parts, or all if none are named: "tables", "control" and "fan-out". It stops at the first
// error and returns the rows measured before it.
func Run(ctx context.Context, s Settings, parts []string) (Report, error) {
	b := &bench{settings: s}
	for _, p := range []struct {
		name string
		run  func(ctx context.Context) error
	}{
		{"tables", b.measureTables},
		{"control", b.measureControl},
		{"fan-out", b.measureFanOuts},
	} {
		if len(parts) > 0 && !slices.Contains(parts, p.name) {
			continue
		}
		if err := p.run(ctx); err != nil {
			return b.report, err
		}
	}
	return b.report, nil
}

func (b *bench) add(part string, size int, name, unit string, values ...float64) {
	s := load.Summarize(values)
	b.report.Rows = append(b.report.Rows, Row{
		Part: part, Size: size, Name: name, Unit: unit, Min: s.Min, Median: s.Median, Max: s.Max, N: s.N,
	})
	if b.settings.Progress != nil {
		fmt.Fprintf(b.settings.Progress, "%s %d: %s %v %s\n", part, size, name, s, unit)
	}
}

// Print writes the rows as plain text.
func (r Report) Print(w io.Writer) {
	for _, row := range r.Rows {
		s := load.Summary{Median: row.Median, Min: row.Min, Max: row.Max, N: row.N}
		fmt.Fprintf(w, "%-10s %6d  %-32s %v %s\n", row.Part, row.Size, row.Name, s, row.Unit)
	}
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
