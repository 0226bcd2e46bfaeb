package main

import (
	"context"
	"os"
	"os/signal"

	"pistachioshore.dev/load/slopes"
)

// slopesCommand holds the flags of the measurement of the tier's own cost.
type slopesCommand struct {
	Seed    uint64   `default:"1" help:"Seed of the service times."`
	Pairs   int      `default:"5" help:"Pairs of tier and direct call, in turn."`
	Queries int      `default:"40" help:"Queries of each half of a pair."`
	Part    []string `enum:"tables,control,fan-out" help:"Parts to measure: tables, control, fan-out; all if absent."`
	Report  string   `default:"text" enum:"text,json" help:"Form of the report on standard output."`
}

// Run measures and prints the report, also when a later part failed.
func (c *slopesCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	r, err := slopes.Run(ctx, slopes.Settings{Seed: c.Seed, Pairs: c.Pairs, Queries: c.Queries, Progress: os.Stderr}, c.Part)
	if c.Report == "json" {
		if err := r.WriteJSON(os.Stdout); err != nil {
			return err
		}
	} else {
		r.Print(os.Stdout)
	}
	return err
}
