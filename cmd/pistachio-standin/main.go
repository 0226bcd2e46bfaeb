// Command pistachio-standin runs stand-ins for the platform and the upstreams.
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

const description = `Stand-ins for what a query tier runs against.

Every flag can also be set in the environment, for example --service-time as PISTACHIO_SERVICE_TIME.
Faults are set while a stand-in runs, with PUT /v1/faults and a JSON body in kebab case; the commands' help lists the fields.

Exit statuses: 0 stopped by SIGTERM or SIGINT, 1 error, 2 usage.`

type commands struct {
	Platform platformCommand `cmd:"" help:"Run the platform's configuration service and list of VMs."`
	Upstream upstreamCommand `cmd:"" help:"Run the upstreams of a configuration, all or one availability zone's."`
	Config   configCommand   `cmd:"" help:"Print a firm's default configuration."`
}

// exit ends the process; the library's own status for wrong flags becomes the customary one.
func exit(status int) {
	const usage, libraryUsage = 2, 80
	if status == libraryUsage {
		status = usage
	}
	os.Exit(status)
}

func main() {
	var cli commands
	k := kong.Parse(&cli, kong.Name("pistachio-standin"), kong.DefaultEnvars("PISTACHIO"), kong.UsageOnError(),
		kong.Description(description), kong.Exit(exit))
	k.FatalIfErrorf(k.Run())
}

// readConfig returns the configuration of a file; a faulty file is refused with its first fault.
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

func untilSignal() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	<-ctx.Done()
}
