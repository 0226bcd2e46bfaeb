// Command pistachio-soak runs the tier's real program as separate processes under faults that seeds draw.
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

// errBroken ends the program with a status other than 0 after its report.
var errBroken = errors.New("a promise did not hold")

// flags of the program.
type flags struct {
	Program  string        `required:"" help:"Program of a VM, such as bin/pistachio-vm."`
	First    uint64        `default:"1" help:"First seed."`
	Seeds    int           `default:"50" help:"Number of seeds, which run one after the other."`
	Parallel int           `default:"1" help:"Soaks that run at a time, with four VMs each."`
	Length   time.Duration `default:"12s" help:"Length of the faults of one seed."`
	Dir      string        `default:"soak-logs" help:"Folder for the settings and logs of the VMs, by seed."`
}

// Run runs the seeds.
func (f *flags) Run() error {
	program, err := filepath.Abs(f.Program)
	if err != nil {
		return errors.Wrap(err, "find the program")
	}
	type outcome struct {
		report soak.Report
		err    error
	}
	results := make(chan outcome)
	tokens := make(chan struct{}, max(f.Parallel, 1))
	for n := range f.Seeds {
		go func() {
			tokens <- struct{}{}
			defer func() { <-tokens }()
			r, err := f.one(program, f.First+uint64(n))
			results <- outcome{r, errors.Wrapf(err, "seed %d", f.First+uint64(n))}
		}()
	}
	var failed error
	for range f.Seeds { // all of them, so that none leaves processes behind
		o := <-results
		if o.err != nil {
			failed = errors.CombineErrors(failed, o.err)
			continue
		}
		fmt.Print(o.report)
		if len(o.report.Violations) > 0 {
			failed = errors.CombineErrors(failed, errBroken)
		}
	}
	return failed
}

// one runs one seed; its logs are kept if a promise did not hold.
func (f *flags) one(program string, seed uint64) (soak.Report, error) {
	dir := filepath.Join(f.Dir, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return soak.Report{}, errors.Wrap(err, "make the folder of a seed")
	}
	r, err := soak.Run(soak.Settings{Seed: seed, Duration: f.Length, Command: []string{program}, Dir: dir})
	if err == nil && len(r.Violations) == 0 {
		err = errors.Wrap(os.RemoveAll(dir), "remove the logs of a seed")
	}
	return r, err
}

func main() {
	ctx := kong.Parse(&flags{}, kong.Description("Runs VMs as processes under drawn faults and checks what clients and servers see."),
		kong.DefaultEnvars("PISTACHIO_SOAK"), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "pistachio-soak:", err)
		os.Exit(1)
	}
}
