// Command pistachio-soak runs randomized soak tests: it starts VMs as separate processes, injects faults
// drawn from a seed, and checks what clients and servers observe.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"pistachioshore.dev/standin/soak"
)

// errViolated makes the command exit with a nonzero status after it has printed a report with violations.
var errViolated = errors.New("an invariant was violated")

// flags holds the command-line flags.
type flags struct {
	Program  string        `required:"" help:"Path of the VM executable, for example bin/pistachio-vm."`
	First    uint64        `default:"1" help:"First seed."`
	Seeds    int           `default:"50" help:"Number of consecutive seeds to run, one after the other unless --parallel is set."`
	Parallel int           `default:"1" help:"Number of seeds to run concurrently, with four VMs each."`
	Length   time.Duration `default:"12s" help:"Duration of fault injection for each seed."`
	Dir      string        `default:"soak-logs" help:"Directory for the settings and logs of the VMs, with one subdirectory per seed."`
}

// Run runs all seeds and prints their reports. It returns an error if a seed failed to run or found a
// violation.
func (f *flags) Run() error {
	program, err := filepath.Abs(f.Program)
	if err != nil {
		return errors.Wrap(err, "resolve path of the VM executable")
	}
	type outcome struct {
		report soak.Report
		err    error
	}
	results := make(chan outcome)
	slots := make(chan struct{}, max(f.Parallel, 1))
	for n := range f.Seeds {
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			r, err := f.runSeed(program, f.First+uint64(n))
			results <- outcome{r, errors.Wrapf(err, "seed %d", f.First+uint64(n))}
		}()
	}
	var failures error
	for range f.Seeds { // waits for every seed, so that no VM process outlives the command
		o := <-results
		if o.err != nil {
			failures = errors.CombineErrors(failures, o.err)
			continue
		}
		fmt.Print(o.report)
		if len(o.report.Violations) > 0 {
			failures = errors.CombineErrors(failures, errViolated)
		}
	}
	return failures
}

// runSeed runs one seed. It removes the logs of the VMs unless the seed failed or found a violation.
func (f *flags) runSeed(program string, seed uint64) (soak.Report, error) {
	dir := filepath.Join(f.Dir, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return soak.Report{}, errors.Wrap(err, "create log directory")
	}
	r, err := soak.Run(soak.Settings{Seed: seed, Duration: f.Length, Command: []string{program}, Dir: dir})
	if err == nil && len(r.Violations) == 0 {
		err = errors.Wrap(os.RemoveAll(dir), "remove log directory")
	}
	return r, err
}

func main() {
	ctx := kong.Parse(&flags{}, kong.Description("Runs VMs as separate processes under random faults and checks what clients and servers observe."),
		kong.DefaultEnvars("PISTACHIO_SOAK"), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "pistachio-soak:", err)
		os.Exit(1)
	}
}
