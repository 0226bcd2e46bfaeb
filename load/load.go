// Package load generates load against a tier and compares load-balancing and hedging policies under it.
package load

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/load/arm"
	"pistachioshore.dev/load/scenario"
)

// settleTime is the pause after a run, so that the garbage collection of one run does not slow the next.
const settleTime = 500 * time.Millisecond

// Settings configures an experiment.
type Settings struct {
	Scenario  scenario.Scenario
	Seed      uint64
	Arms      []string // names of the arms to run; empty selects those of the scenario
	Repeats   int
	Progress  io.Writer // one line every two seconds; discarded if nil
	LogOutput io.Writer // log lines of the VMs; discarded if nil
}

// Run runs the arms one after another with the same seed, and repeats this s.Repeats times. Repeat n, counted from
// 0, uses the seed s.Seed+n.
func Run(ctx context.Context, s Settings) (Report, error) {
	names := s.Arms
	if len(names) == 0 {
		names = s.Scenario.Arms
	}
	var arms []arm.Arm
	for _, name := range names {
		a, err := arm.Find(name)
		if err != nil {
			return Report{}, err
		}
		arms = append(arms, a)
	}
	report := Report{Scenario: s.Scenario, Seed: s.Seed}
	for repeat := range max(s.Repeats, 1) {
		for _, a := range arms {
			r, err := runArm(ctx, s, a, repeat)
			if err != nil {
				return report, errors.Wrapf(err, "arm %s, repeat %d", a.Name, repeat+1)
			}
			report.Runs = append(report.Runs, r)
			time.Sleep(settleTime)
		}
	}
	return report, nil
}

func (s Settings) printf(format string, args ...any) {
	if s.Progress != nil {
		fmt.Fprintf(s.Progress, format+"\n", args...)
	}
}
