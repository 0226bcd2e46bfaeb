package matrix

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// MaxRunDuration limits the duration of a run.
const MaxRunDuration = 5 * time.Minute

// pairsPerEnvironment is the number of cells with two faults that share a tier.
const pairsPerEnvironment = 4

// job holds cells that run one after another. They share a tier, which is replaced after an error or a violation.
type job struct {
	cells []Cell
	seed  uint64
}

// Run runs the cells that the settings select and calls onCell with the report of each, one call at a time. It ends
// after MaxRunDuration at the latest.
func Run(ctx context.Context, s Settings, onCell func(c CellReport)) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, MaxRunDuration)
	defer cancel()
	started := time.Now()
	single, pairs, err := selectCells(s)
	if err != nil {
		return Report{}, err
	}
	r := Report{Seed: s.Seed}
	var mu sync.Mutex
	report := func(c CellReport) {
		mu.Lock()
		defer mu.Unlock()
		r.add(c)
		onCell(c)
	}
	var group errgroup.Group
	group.SetLimit(max(1, s.Parallel))
	for _, j := range groupJobs(s.Seed, single, pairs) {
		group.Go(func() error {
			j.run(ctx, s.ChildCommand, report)
			return nil
		})
	}
	_ = group.Wait() // jobs report their errors through onCell
	r.Elapsed = time.Since(started).Round(100 * time.Millisecond).String()
	return r, nil
}

// groupJobs makes one job of the cells of each fault, and one of every pairsPerEnvironment pairs.
func groupJobs(seed uint64, single, pairs []Cell) []job {
	var out []job
	for _, c := range single {
		if n := len(out); n > 0 && out[n-1].cells[0].FaultNames() == c.FaultNames() {
			out[n-1].cells = append(out[n-1].cells, c)
			continue
		}
		out = append(out, job{cells: []Cell{c}})
	}
	for list := range slices.Chunk(pairs, pairsPerEnvironment) {
		out = append(out, job{cells: list})
	}
	for i := range out {
		out[i].seed = seed + uint64(i)
	}
	return out
}

// pausesProcess reports whether a cell of the job pauses a VM process.
func (j job) pausesProcess() bool {
	return slices.ContainsFunc(j.cells, func(c Cell) bool {
		return slices.ContainsFunc(c.Faults, func(f Fault) bool { return f.Name == "process-paused" })
	})
}

func (j job) run(ctx context.Context, command []string, report func(CellReport)) {
	if !j.pausesProcess() {
		command = nil
	}
	var e *environment
	defer func() {
		if e != nil {
			e.close()
		}
	}()
	for _, spec := range j.cells {
		r := CellReport{Faults: spec.FaultNames(), Step: spec.Step.Name}
		started := time.Now()
		var err error
		if e == nil {
			e, err = newEnvironment(ctx, j.seed, command)
		}
		if err == nil {
			err = newCellRun(ctx, e, spec).runAndCheck(&r)
		}
		if err == nil {
			err = ctx.Err()
		}
		if err != nil {
			r.Error = err.Error()
		}
		r.Elapsed = time.Since(started).Round(100 * time.Millisecond).String()
		report(r)
		if e != nil && (err != nil || len(r.Violations) > 0) {
			e.close() // the next cell must not start on a damaged tier
			e = nil
		}
	}
}

// runAndCheck runs the cell and fills in its report.
func (c *cellRun) runAndCheck(r *CellReport) error {
	since := time.Now()
	if err := c.run(); err != nil {
		return err
	}
	err := c.waitRecovered()
	c.tier.Network().ResetSilentConnections()
	r.Violations, r.Properties, r.Requests = c.check(since)
	if err != nil {
		r.Violations = append(r.Violations, Violation{serviceProperty, "tier", err.Error()})
	}
	r.ViolatedProperties = violatedProperties(r.Violations)
	r.Reached = c.reached
	return nil
}
