// Command pistachio-standin runs stand-ins (simulated services) for the platform and the upstreams.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/codec"
)

const description = `Runs stand-ins (simulated services) for the platform and the upstreams of a query tier.

Every flag can also be set through the environment, for example --service-time as PISTACHIO_SERVICE_TIME.
To inject faults into a running stand-in, send PUT /v1/faults with a JSON body. The help of each
command lists the fields.

Exit statuses: 0 stopped by SIGTERM or SIGINT, 1 error, 2 usage.`

type commands struct {
	Platform platformCommand `cmd:"" help:"Run a stand-in for the configuration service and VM list of the platform."`
	Upstream upstreamCommand `cmd:"" help:"Run stand-ins for the upstreams of a configuration, in all availability zones or in one."`
	Config   configCommand   `cmd:"" help:"Print the default configuration of a firm."`
}

// exit ends the process. It replaces kong's exit status for usage errors (80) with the conventional 2.
func exit(status int) {
	const exitUsage, kongExitUsage = 2, 80
	if status == kongExitUsage {
		status = exitUsage
	}
	os.Exit(status)
}

func main() {
	var cli commands
	k := kong.Parse(&cli, kong.Name("pistachio-standin"), kong.DefaultEnvars("PISTACHIO"), kong.UsageOnError(),
		kong.Description(description), kong.Exit(exit))
	k.FatalIfErrorf(k.Run())
}

// readConfig reads and validates a configuration file. If the file is invalid, it returns the first fault.
func readConfig(path string) (*catalog.Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	cfg, faults := codec.ParseConfig(raw)
	if len(faults) > 0 {
		return nil, faults[0]
	}
	return cfg, nil
}

// waitForSignal blocks until the process receives SIGINT or SIGTERM.
func waitForSignal() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	<-ctx.Done()
}
