package matrix

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// MaxRunDuration bounds a whole run.
const MaxRunDuration = 5 * time.Minute

// pairsPerSite is how many cells with two faults share a tier.
const pairsPerSite = 4

// job is cells that run one after the other, on one tier unless a violation spoils it.
type job struct {
	cells []Cell
	seed  uint64
}

// Run runs the cells that the settings choose and passes each outcome to each; it ends at the latest
// after LongestRun.
func Run(ctx context.Context, s Settings, each func(c CellReport)) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, MaxRunDuration)
	defer cancel()
	started := time.Now()
	single, pairs, err := cells(s)
	if err != nil {
		return Report{}, err
	}
	r := Report{Seed: s.Seed}
	var mu sync.Mutex
	report := func(c CellReport) {
		mu.Lock()
		defer mu.Unlock()
		r.add(c)
		each(c)
	}
	var group errgroup.Group
	group.SetLimit(max(1, s.Parallel))
	for _, j := range jobs(s.Seed, single, pairs) {
		group.Go(func() error {
			j.run(ctx, s.ChildCommand, report)
			return nil
		})
	}
	_ = group.Wait() // the jobs report their errors
	r.Elapsed = time.Since(started).Round(100 * time.Millisecond).String()
	return r, nil
}

// jobs groups the cells of one fault, and some pairs each.
func jobs(seed uint64, single, pairs []Cell) []job {
	var out []job
	for _, c := range single {
		if n := len(out); n > 0 && out[n-1].cells[0].FaultNames() == c.FaultNames() {
			out[n-1].cells = append(out[n-1].cells, c)
			continue
		}
		out = append(out, job{cells: []Cell{c}})
	}
	for list := range slices.Chunk(pairs, pairsPerSite) {
		out = append(out, job{cells: list})
	}
	for i := range out {
		out[i].seed = seed + uint64(i)
	}
	return out
}

// paused reports whether a cell of the job pauses a process.
func (j job) paused() bool {
	return slices.ContainsFunc(j.cells, func(c Cell) bool {
		return slices.ContainsFunc(c.Faults, func(f Fault) bool { return f.Name == "process-paused" })
	})
}

func (j job) run(ctx context.Context, command []string, report func(CellReport)) {
	if !j.paused() {
		command = nil
	}
	var s *site
	defer func() {
		if s != nil {
			s.close()
		}
	}()
	for _, spec := range j.cells {
		r := CellReport{Faults: spec.FaultNames(), Step: spec.Step.Name}
		started := time.Now()
		var err error
		if s == nil {
			s, err = newSite(ctx, j.seed, command)
		}
		if err == nil {
			err = newCell(ctx, s, spec).measure(&r)
		}
		if err == nil {
			err = ctx.Err()
		}
		if err != nil {
			r.Error = err.Error()
		}
		r.Elapsed = time.Since(started).Round(100 * time.Millisecond).String()
		report(r)
		if s != nil && (err != nil || len(r.Violations) > 0) {
			s.close() // the next cell must not inherit the damage
			s = nil
		}
	}
}

// measure runs the cell and fills in what it found.
func (c *cell) measure(r *CellReport) error {
	since := time.Now()
	if err := c.run(); err != nil {
		return err
	}
	err := c.recovered()
	c.tier.Network().ResetSilentConnections()
	r.Violations, r.Properties, r.Requests = c.check(since)
	if err != nil {
		r.Violations = append(r.Violations, Violation{serviceProperty, "tier", err.Error()})
	}
	r.ViolatedProperties = properties(r.Violations)
	r.Reached = c.reached
	return nil
}
