package matrix

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// maxPairDelay limits the delay between the two faults of a pair.
const maxPairDelay = 500 * time.Millisecond

// Settings configures a run.
type Settings struct {
	Seed         uint64
	Pairs        int      // number of cells with two faults
	Faults       []string // names of the faults to run; all if empty
	Steps        []string // names of the steps to run; all if empty
	Short        bool     // run only the fixed selection for CI
	Parallel     int      // number of tiers that run at a time
	ChildCommand []string // command that runs a VM in a child process, see RunVM
}

// selectCells returns the cells of a run, separately for single faults and for pairs.
func selectCells(s Settings) (single, pairs []Cell, err error) {
	faults, err := Faults()
	if err != nil {
		return nil, nil, err
	}
	steps, err := Steps()
	if err != nil {
		return nil, nil, err
	}
	faults, err = selectByName(faults, s.Faults, func(f Fault) string { return f.Name })
	if err != nil {
		return nil, nil, err
	}
	steps, err = selectByName(steps, s.Steps, func(st Step) string { return st.Name })
	if err != nil {
		return nil, nil, err
	}
	if s.Short {
		single, err = shortCells(faults, steps)
		return single, nil, err
	}
	for _, f := range faults {
		for _, st := range steps {
			single = append(single, Cell{Faults: []Fault{f}, Step: st})
		}
	}
	return single, randomPairs(s, faults, steps), nil
}

// shortCells returns the cells of the fixed selection for CI whose fault and step are among the given ones.
func shortCells(faults []Fault, steps []Step) ([]Cell, error) {
	lines, err := readTable("short.txt")
	if err != nil {
		return nil, err
	}
	var out []Cell
	for _, l := range lines {
		f := slices.IndexFunc(faults, func(f Fault) bool { return f.Name == l[0] })
		s := slices.IndexFunc(steps, func(s Step) bool { return s.Name == l[1] })
		if f >= 0 && s >= 0 {
			out = append(out, Cell{Faults: []Fault{faults[f]}, Step: steps[s]})
		}
	}
	return out, nil
}

// randomPairs returns cells with two different faults, drawn from the seed.
func randomPairs(s Settings, faults []Fault, steps []Step) []Cell {
	if len(faults) < 2 {
		return nil
	}
	r := rand.New(rand.NewPCG(s.Seed, uint64(len(faults))))
	var out []Cell
	for range s.Pairs {
		order := r.Perm(len(faults))
		out = append(out, Cell{
			Faults: []Fault{faults[order[0]], faults[order[1]]},
			Step:   steps[r.IntN(len(steps))],
			Delays: []time.Duration{time.Duration(r.Int64N(int64(maxPairDelay)))},
		})
	}
	return out
}

// selectByName returns the items with the given names, or all items if there are no names.
func selectByName[T any](all []T, names []string, name func(T) string) ([]T, error) {
	if len(names) == 0 {
		return all, nil
	}
	var out []T
	for _, n := range names {
		i := slices.IndexFunc(all, func(t T) bool { return name(t) == n })
		if i < 0 {
			return nil, errors.Newf("no line of the table has the name %q", n)
		}
		out = append(out, all[i])
	}
	return out, nil
}
