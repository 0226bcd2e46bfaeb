// Command pistachio-matrix runs the fault matrix: it injects every fault at every step of a request, and
// some pairs of faults.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"pistachioshore.dev/matrix"
)

// errViolated makes the command exit with a nonzero status after it has printed its report.
var errViolated = errors.New("an invariant was violated or a cell failed to run")

// commands lists the subcommands.
type commands struct {
	Run runCommand `cmd:"" default:"withargs" help:"Run the matrix (default)."`
	VM  vmCommand  `cmd:"" hidden:"" help:"Run one VM for a matrix that runs in another process."`
}

// runCommand holds the flags of the run command.
type runCommand struct {
	Seed     uint64   `default:"1" help:"Seed for the fault pairs and the service times."`
	Pairs    int      `default:"24" help:"Number of cells with two faults, drawn from the seed."`
	Faults   []string `help:"Run only these faults."`
	Steps    []string `help:"Inject faults only at these steps."`
	Short    bool     `help:"Run only the fixed subset of cells for CI."`
	Report   string   `default:"text" enum:"text,json" help:"Format of the report: text, or json for a single object on standard output."`
	Parallel int      `default:"8" help:"Number of tiers to run concurrently."`
}

// Run runs the matrix and prints its report.
func (c *runCommand) Run() error {
	executable, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find own executable")
	}
	printCell := func(r matrix.CellReport) { r.Print(os.Stdout) }
	if c.Report == "json" {
		printCell = func(matrix.CellReport) {}
	} else {
		fmt.Printf("seed %d\n", c.Seed)
	}
	r, err := matrix.Run(context.Background(), matrix.Settings{
		Seed: c.Seed, Pairs: c.Pairs, Faults: c.Faults, Steps: c.Steps, Short: c.Short, Parallel: c.Parallel,
		ChildCommand: []string{executable, "vm"},
	}, printCell)
	if err != nil {
		return err
	}
	if c.Report == "json" {
		err = json.NewEncoder(os.Stdout).Encode(r)
	} else {
		r.PrintSummary(os.Stdout)
	}
	if err == nil && !r.OK() {
		err = errViolated
	}
	return err
}

// vmCommand has no flags. The VM reads its instructions from standard input.
type vmCommand struct{}

// Run runs the VM until the matrix process ends.
func (*vmCommand) Run() error {
	return matrix.RunVM(os.Stdin, os.Stdout)
}

func main() {
	var cli commands
	k := kong.Parse(&cli,
		kong.Name("pistachio-matrix"),
		kong.Description("Injects every fault at every step of a request and checks the invariants of the tier."),
		kong.DefaultEnvars("PISTACHIO_MATRIX"),
		kong.UsageOnError(),
	)
	k.FatalIfErrorf(k.Run())
}
