package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/load"
	"pistachioshore.dev/load/arm"
	"pistachioshore.dev/load/chart"
	"pistachioshore.dev/load/scenario"
)

// runCommand holds the flags of an experiment.
type runCommand struct {
	Scenario string   `required:"" type:"existingfile" help:"Scenario file."`
	Seed     uint64   `default:"1" help:"Seed of arrivals and service times; repeat n uses the seed plus n."`
	Arm      []string `help:"Arms to run instead of the scenario's; the first is the base of ratios."`
	Repeats  int      `default:"1" help:"Times that each arm runs; timing claims need at least 5."`
	Report   string   `default:"text" enum:"text,json,html" help:"Form of the report on standard output."`
	Log      string   `type:"path" help:"File for the log lines of the VMs; they are dropped if absent."`
	Out      string   `type:"path" help:"Directory for report.json, figures.csv, report.html and one plot for each phase."`
}

// Run runs the arms and writes the reports; it fails if a property did not hold.
func (c *runCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	sc, err := scenario.Read(c.Scenario)
	if err != nil {
		return err
	}
	s := load.Settings{Scenario: sc, Seed: c.Seed, Arms: c.Arm, Repeats: c.Repeats, Progress: os.Stderr}
	if c.Log != "" {
		f, err := os.Create(c.Log)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		s.LogOutput = f
	}
	r, err := load.Run(ctx, s)
	if err != nil {
		return err
	}
	if err := c.save(r); err != nil {
		return err
	}
	if err := c.print(os.Stdout, r); err != nil {
		return err
	}
	if n := r.ViolationCount(); n > 0 {
		return errors.Newf("%d violations of what must always hold", n)
	}
	return nil
}

func (c *runCommand) print(w io.Writer, r load.Report) error {
	switch c.Report {
	case "json":
		return r.WriteJSON(w)
	case "html":
		return chart.WriteHTML(w, r)
	default:
		r.Print(w)
		return nil
	}
}

func (c *runCommand) save(r load.Report) error {
	if c.Out == "" {
		return nil
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	files := map[string]func(w io.Writer) error{
		"report.json": r.WriteJSON,
		"figures.csv": r.WriteCSV,
		"report.html": func(w io.Writer) error { return chart.WriteHTML(w, r) },
	}
	for _, k := range r.PhaseRoutes() {
		if k.Route == "" {
			files["latency-"+k.Phase+".png"] = func(w io.Writer) error { return chart.DrawLatencies(w, r, k) }
		}
	}
	for name, write := range files {
		if err := writeFile(filepath.Join(c.Out, name), write); err != nil {
			return err
		}
	}
	return nil
}

func writeFile(path string, write func(w io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.CombineErrors(write(f), f.Close())
}

// armsCommand lists the arms.
type armsCommand struct{}

// Run prints each arm with what it does.
func (armsCommand) Run() error {
	for _, a := range arm.All() {
		fmt.Printf("%-18s %s\n", a.Name, a.Description)
	}
	return nil
}
