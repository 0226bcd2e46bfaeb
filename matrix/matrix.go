// Package matrix tests the tier with fault injection. Each cell of the matrix sends a watched request, injects one or more
// faults when that request reaches a step of its processing, and checks that the properties of the tier hold.
package matrix

import (
	"bufio"
	"embed"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/entry/vm"
)

//go:embed data
var tableFiles embed.FS

// Fault is a line of the fault table.
type Fault struct {
	Name     string
	Duration time.Duration
	index    int // line of the table, counted from 0
}

// Step is a line of the step table.
type Step struct {
	Name    string
	trigger trigger
	index   int // line of the table, counted from 0
}

// trigger is the event that shows that a request has reached a step.
type trigger struct {
	step        vm.Step // zero if the fault begins without a watched request
	waitStarted bool    // also wait until the upstream has started the attempt
}

// Cell is one cell of the matrix: one or more faults, the first of which begins at a step of a watched request.
type Cell struct {
	Faults []Fault
	Step   Step
	Delays []time.Duration // delay of each further fault after the previous one
}

// watchesOrder reports whether the watched request is an order. That is so in every second cell, and does not change
// between runs.
func (c Cell) watchesOrder() bool {
	return (c.Faults[0].index+c.Step.index)%2 == 1
}

// FaultNames returns the names of the faults, joined by "+".
func (c Cell) FaultNames() string {
	names := make([]string, 0, len(c.Faults))
	for _, f := range c.Faults {
		names = append(names, f.Name)
	}
	return strings.Join(names, "+")
}

// Faults returns the fault table.
func Faults() ([]Fault, error) {
	lines, err := readTable("faults.txt")
	if err != nil {
		return nil, err
	}
	faults := make([]Fault, 0, len(lines))
	for _, l := range lines {
		duration, err := time.ParseDuration(l[1])
		if err != nil {
			return nil, errors.Wrapf(err, "fault %s", l[0])
		}
		faults = append(faults, Fault{Name: l[0], Duration: duration, index: len(faults)})
	}
	return faults, nil
}

// Steps returns the step table.
func Steps() ([]Step, error) {
	lines, err := readTable("steps.txt")
	if err != nil {
		return nil, err
	}
	steps := make([]Step, 0, len(lines))
	for _, l := range lines {
		t, ok := parseTrigger(l[1])
		if !ok {
			return nil, errors.Newf("step %s: unknown trigger %q", l[0], l[1])
		}
		steps = append(steps, Step{Name: l[0], trigger: t, index: len(steps)})
	}
	return steps, nil
}

func parseTrigger(name string) (trigger, bool) {
	switch name {
	case "none":
		return trigger{}, true
	case "start":
		return trigger{step: vm.StepSent, waitStarted: true}, true
	}
	for s := vm.StepAccepted; s <= vm.StepLatePart; s++ {
		if s.String() == name {
			return trigger{step: s}, true
		}
	}
	return trigger{}, false
}

// readTable returns the lines of a table, each of which has two fields.
func readTable(name string) ([][2]string, error) {
	f, err := tableFiles.Open("data/" + name)
	if err != nil {
		return nil, errors.Wrap(err, "open table")
	}
	defer func() { _ = f.Close() }()
	var lines [][2]string
	for s := bufio.NewScanner(f); s.Scan(); {
		line, _, _ := strings.Cut(s.Text(), "#")
		if strings.TrimSpace(line) == "" {
			continue
		}
		var l [2]string
		if n, err := fmt.Sscan(line, &l[0], &l[1]); err != nil {
			return nil, errors.Wrapf(err, "%s: line %q has %d of 2 fields", name, line, n)
		}
		lines = append(lines, l)
	}
	return lines, nil
}
