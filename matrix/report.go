package matrix

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// maxDetails limits the violations of a cell that Print writes in full.
const maxDetails = 5

// Report is the report of a run.
type Report struct {
	Seed        uint64       `json:"seed"`
	Cells       []CellReport `json:"cells"`
	Properties  []string     `json:"properties"` // checked in at least one cell
	Requests    int          `json:"requests"`
	Violations  int          `json:"violations"`
	FailedCells int          `json:"failed"` // cells that could not be run
	Elapsed     string       `json:"elapsed"`
}

// CellReport is the report of one cell.
type CellReport struct {
	Faults             string      `json:"faults"`
	Step               string      `json:"step"`
	Reached            bool        `json:"reached"` // a watched request had reached the step when the fault began
	Properties         []string    `json:"properties"`
	Requests           int         `json:"requests"`
	Violations         []Violation `json:"violations"`
	ViolatedProperties []string    `json:"violated"`
	Error              string      `json:"error,omitempty"`
	Elapsed            string      `json:"elapsed"`
}

func (r *Report) add(c CellReport) {
	r.Cells = append(r.Cells, c)
	r.Requests += c.Requests
	r.Violations += len(c.Violations)
	if c.Error != "" {
		r.FailedCells++
	}
	for _, p := range c.Properties {
		if !slices.Contains(r.Properties, p) {
			r.Properties = append(r.Properties, p)
		}
	}
}

// OK reports whether every cell ran without a violation.
func (r *Report) OK() bool {
	return r.Violations == 0 && r.FailedCells == 0
}

// Print writes a line for the cell and one for each of its first violations.
func (c CellReport) Print(w io.Writer) {
	reached := ""
	if !c.Reached {
		reached = " (step not reached)"
	}
	fmt.Fprintf(w, "%-38s %-16s %6d requests %3d violations  %s  %s%s\n", c.Faults, c.Step, c.Requests,
		len(c.Violations), c.Elapsed, strings.Join(c.Properties, " "), reached)
	if c.Error != "" {
		fmt.Fprintln(w, "   not run:", c.Error)
	}
	for _, v := range c.Violations[:min(len(c.Violations), maxDetails)] {
		fmt.Fprintf(w, "   %s %s: %s\n", v.Property, v.Subject, v.Detail)
	}
}

// PrintSummary writes the totals of the run.
func (r *Report) PrintSummary(w io.Writer) {
	unreached := 0
	for _, c := range r.Cells {
		if !c.Reached {
			unreached++
		}
	}
	fmt.Fprintf(w, "\nseed %d: %d cells (%d without the step, %d not run), %d requests, %d properties checked (%s), %d violations in %s\n",
		r.Seed, len(r.Cells), unreached, r.FailedCells, r.Requests, len(r.Properties), strings.Join(r.Properties, " "), r.Violations, r.Elapsed)
}
