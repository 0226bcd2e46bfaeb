// Command pistachio-matrix runs the fault matrix: every fault at every step of a request, and pairs of faults.
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

// errViolated ends the program with a status other than 0 after its report.
var errViolated = errors.New("a property did not hold, or a cell could not be run")

// commands lists the subcommands.
type commands struct {
	Run runCommand `cmd:"" default:"withargs" help:"Run the matrix; this is the default."`
	VM  vmCommand  `cmd:"" hidden:"" help:"Run one VM for a matrix in another process."`
}

// runCommand holds the flags of a run.
type runCommand struct {
	Seed     uint64   `default:"1" help:"Seed of the pairs and of the service times."`
	Pairs    int      `default:"24" help:"Cells with two faults at once, drawn from the seed."`
	Faults   []string `help:"Run only these faults."`
	Steps    []string `help:"Run only these steps."`
	Short    bool     `help:"Run only the fixed part for CI."`
	Report   string   `default:"text" enum:"text,json" help:"Form of the report: text, or json for one object on standard output."`
	Parallel int      `default:"8" help:"Tiers that run at a time."`
}

// Run runs the matrix.
func (c *runCommand) Run() error {
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the program")
	}
	each := func(r matrix.CellReport) { r.Print(os.Stdout) }
	if c.Report == "json" {
		each = func(matrix.CellReport) {}
	} else {
		fmt.Printf("seed %d\n", c.Seed)
	}
	r, err := matrix.Run(context.Background(), matrix.Settings{
		Seed: c.Seed, Pairs: c.Pairs, Faults: c.Faults, Steps: c.Steps, Short: c.Short, Parallel: c.Parallel,
		ChildCommand: []string{self, "vm"},
	}, each)
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

// vmCommand has no flags; the VM is told what to do on standard input.
type vmCommand struct{}

// Run runs the VM until the matrix ends.
func (*vmCommand) Run() error {
	return matrix.RunVM(os.Stdin, os.Stdout)
}

func main() {
	var cli commands
	k := kong.Parse(&cli,
		kong.Name("pistachio-matrix"),
		kong.Description("Puts every fault at every step of a request and checks what must always hold."),
		kong.DefaultEnvars("PISTACHIO_MATRIX"),
		kong.UsageOnError(),
	)
	k.FatalIfErrorf(k.Run())
}
