// Command pistachio-load runs load experiments against a query tier. It compares routing and hedging
// policies and measures the overhead of the tier itself.
package main

import (
	"github.com/alecthomas/kong"
)

const description = `Runs load experiments on loopback against real entry VMs and simulated upstreams.
Every flag can also be set through the environment, for example --seed as PISTACHIO_SEED.
Timings depend on the host, so compare only arms of the same run.`

type commands struct {
	Run    runCommand    `cmd:"" help:"Run the arms of a scenario one after the other with the same seed."`
	Arms   armsCommand   `cmd:"" help:"List the available arms."`
	Slopes slopesCommand `cmd:"" help:"Measure the overhead of the tier by fan-out and by the number of VMs, upstreams and servers."`
}

func main() {
	var cli commands
	k := kong.Parse(&cli, kong.Name("pistachio-load"), kong.DefaultEnvars("PISTACHIO"), kong.UsageOnError(),
		kong.Description(description))
	k.FatalIfErrorf(k.Run())
}
