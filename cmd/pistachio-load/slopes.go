package main

import (
	"context"
	"os"
	"os/signal"

	"pistachioshore.dev/load/slopes"
)

// slopesCommand holds the flags of the slopes command, which measures the overhead of the tier.
type slopesCommand struct {
	Seed    uint64   `default:"1" help:"Seed for service times."`
	Pairs   int      `default:"5" help:"Number of paired measurements of the tier and of direct calls to the shards."`
	Queries int      `default:"40" help:"Number of queries in each half of a pair."`
	Part    []string `enum:"tables,control,fan-out" help:"Parts to measure: tables, control, fan-out; all of them if not set."`
	Report  string   `default:"text" enum:"text,json" help:"Format of the report on standard output."`
}

// Run runs the measurements and prints the report. If a part fails, it still prints the results of the
// parts before it.
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
