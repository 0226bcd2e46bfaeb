package main

import (
	"context"
	"io"
	"os"

	"pistachioshore.dev/demo"
)

// demoCommand holds the flags of the demo.
type demoCommand struct {
	Seed   uint64 `default:"1" help:"Seed of the service times and of what callers ask for."`
	Report string `default:"text" enum:"text,json" help:"Form of the report: text, or json for one object on standard output."`
	Log    string `type:"path" help:"File for the log lines of the VMs; they are dropped if absent."`
}

// Help says what the demo shows.
func (c *demoCommand) Help() string {
	return `Runs the tiers of both firms in one process on loopback: six entry VMs in three availability zones and
113 upstreams each, on free ports. While callers send look-ups and orders, a snapshot is published, a
zone is taken out and brought back, and a VM is stopped. Every answer is then compared with what the
upstreams counted. The report ends with the violations of the properties P1 to P10 of docs/design.md.

Examples:
  pistachioshore demo
  pistachioshore demo --seed 7 --report json --log demo.log

Exit statuses: 0 no violation, 1 a violation or another error, 2 usage.`
}

// Run runs the demo; it ends with 1 if a property did not hold.
func (c *demoCommand) Run(out output) error {
	s := demo.Settings{Seed: c.Seed, Progress: io.Writer(out)}
	if c.Report == "json" {
		s.Progress = os.Stderr
	}
	if c.Log != "" {
		f, err := os.Create(c.Log)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		s.LogOutput = f
	}
	r, err := demo.Run(context.Background(), s)
	if err != nil {
		return err
	}
	if c.Report == "json" {
		if err := printJSON(out, r); err != nil {
			return err
		}
	} else {
		r.Print(out)
	}
	if r.Violations > 0 {
		return exitStatus(1)
	}
	return nil
}
