// Command pistachioshore runs an entry VM and provides the command-line tools for callers and operators.
package main

import (
	"os"

	"github.com/alecthomas/kong"
)

const description = `A query tier over many shards.

To get started, run "pistachioshore demo", which needs no setup. Every flag can also be set through the
environment, for example --log-level as PISTACHIO_LOG_LEVEL; flags take precedence.
README.md lists the documentation.`

// commands lists the subcommands.
type commands struct {
	Entry  entryCommand  `cmd:"" help:"Run an entry VM."`
	Query  queryCommand  `cmd:"" help:"Send a look-up and print the answer."`
	Order  orderCommand  `cmd:"" help:"Obtain a permit, send an order with it and print the outcome."`
	Status statusCommand `cmd:"" help:"Print the status of an entry VM."`
	Demo   demoCommand   `cmd:"" help:"Run the tiers of both firms on loopback for about 20 s and check the invariants."`
	Check  checkCommand  `cmd:"" help:"Validate a configuration file as an entry VM would."`

	Explain explainCommand `cmd:"" help:"Explain a request from the log lines of the VMs."`

	ExplainPlacement explainPlacementCommand `cmd:"" help:"Explain where a VM would send a request now, without sending it."`
}

// exit ends the process. It replaces kong's exit status for usage errors (80) with exitUsage.
func exit(status int) {
	const kongExitUsage = 80
	if status == kongExitUsage {
		status = exitUsage
	}
	os.Exit(status)
}

func main() {
	var cli commands
	k := kong.Parse(&cli,
		kong.Name("pistachioshore"),
		kong.Description(description),
		kong.DefaultEnvars("PISTACHIO"),
		kong.UsageOnError(),
		kong.Exit(exit),
	)
	k.BindTo(os.Stdout, (*output)(nil))
	status, err := run(k)
	k.FatalIfErrorf(err)
	os.Exit(status)
}
