// Command pistachio-load runs load against a tier and measures its policies and its own cost.
package main

import (
	"github.com/alecthomas/kong"
)

const description = `Load and experiments against a tier of real entry VMs and stand-ins on loopback.
Every flag can also be set in the environment, for example --seed as PISTACHIO_SEED.
Timing depends on the machine: compare arms of one run with each other, not with other runs.`

type commands struct {
	Run    runCommand    `cmd:"" help:"Run a scenario's arms in turn on the same seed."`
	Arms   armsCommand   `cmd:"" help:"List the arms."`
	Slopes slopesCommand `cmd:"" help:"Measure the tier's own cost by fan-out, VMs, upstreams and servers."`
}

func main() {
	var cli commands
	k := kong.Parse(&cli, kong.Name("pistachio-load"), kong.DefaultEnvars("PISTACHIO"), kong.UsageOnError(),
		kong.Description(description))
	k.FatalIfErrorf(k.Run())
}
