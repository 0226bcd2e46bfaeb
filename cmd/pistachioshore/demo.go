package main

import (
	"context"
	"io"
	"os"

	"pistachioshore.dev/demo"
)

// demoCommand holds the flags of the demo command.
type demoCommand struct {
	Seed   uint64 `default:"1" help:"Seed for the service times and for the requests of the callers."`
	Report string `default:"text" enum:"text,json" help:"Format of the report: text, or json for a single object on standard output."`
	Log    string `type:"path" help:"File for the logs of the VMs; they are discarded if not set."`
}

// Help returns the help text, which describes the demo.
func (c *demoCommand) Help() string {
	return `Runs the tiers of both firms in one process on loopback: six entry VMs in three availability zones and
113 upstreams each, on free ports. While callers send look-ups and orders, the demo publishes a
snapshot, drains a zone and restores it, and stops a VM. It then compares every answer with the
counters of the upstreams. The report ends with the violations of the properties P1 to P10, which
docs/design.md defines.

Examples:
  pistachioshore demo
  pistachioshore demo --seed 7 --report json --log demo.log

Exit statuses: 0 no violation, 1 violation or other error, 2 usage.`
}

// Run runs the demo and prints its report. The exit status is 1 if any property was violated.
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
