// Command pistachioshore runs an entry VM and its callers' and operators' tools.
package main

import (
	"os"

	"github.com/alecthomas/kong"
)

const description = `A query tier over many shards.

Start with "pistachioshore demo", which needs nothing else. Every flag can also be set in the environment,
for example --log-level as PISTACHIO_LOG_LEVEL; a flag goes before the environment.
README.md lists the documentation.`

// commands lists the subcommands.
type commands struct {
	Entry  entryCommand  `cmd:"" help:"Run the process of one entry VM."`
	Query  queryCommand  `cmd:"" help:"Send a look-up and print its answer."`
	Order  orderCommand  `cmd:"" help:"Get a permit, send an order with it and print its outcome."`
	Status statusCommand `cmd:"" help:"Print what one entry VM believes."`
	Demo   demoCommand   `cmd:"" help:"Run both firms on loopback for about 20 s and check what must always hold."`
	Check  checkCommand  `cmd:"" help:"Check a configuration file as an entry VM would."`

	Explain explainCommand `cmd:"" help:"Print what log lines say of one request."`
}

// exit ends the process; the library's own status for wrong flags becomes the customary one.
func exit(status int) {
	const libraryUsage = 80
	if status == libraryUsage {
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
