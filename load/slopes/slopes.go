// Package slopes measures what the tier itself costs, by fan-out, VMs, upstreams and servers.
package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"pistachioshore.dev/load"
)

// Settings describe a measurement.
type Settings struct {
	Seed     uint64
	Pairs    int       // tier and direct call in turn
	Queries  int       // of each half of a pair
	Progress io.Writer // nothing if nil
}

// Row is one measured figure.
type Row struct {
	Part   string  `json:"part"`
	Size   int     `json:"size"` // of what the part names
	Name   string  `json:"name"`
	Unit   string  `json:"unit"`
	Min    float64 `json:"least"`
	Median float64 `json:"median"`
	Max    float64 `json:"most"`
	N      int     `json:"n"`
}

// Report holds every row in the order of measurement.
type Report struct {
	Rows []Row `json:"rows"`
}

// bench collects the rows of one measurement.
type bench struct {
	settings Settings
	report   Report
}

// Run measures fan-out, control cost and the state tables. It stops at the first error.
func Run(ctx context.Context, s Settings, parts []string) (Report, error) {
	b := &bench{settings: s}
	for _, p := range []struct {
		name string
		run  func(ctx context.Context) error
	}{
		{"tables", b.tables},
		{"control", b.control},
		{"fan-out", b.fanOuts},
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

// Print writes the rows as text.
func (r Report) Print(w io.Writer) {
	for _, row := range r.Rows {
		s := load.Summary{Median: row.Median, Min: row.Min, Max: row.Max, N: row.N}
		fmt.Fprintf(w, "%-10s %6d  %-32s %v %s\n", row.Part, row.Size, row.Name, s, row.Unit)
	}
}

// WriteJSON writes the report as one object.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
