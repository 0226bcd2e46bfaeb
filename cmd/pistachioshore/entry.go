package main

import (
	"net/netip"
	"os"
	"strconv"
	"time"

	"pistachioshore.dev/entry/process"
	"pistachioshore.dev/entry/vm"
	"pistachioshore.dev/result"
	"pistachioshore.dev/shutdown"
	"pistachioshore.dev/telemetry"
)

// entryCommand holds the flags of the entry command.
type entryCommand struct {
	Listen        netip.AddrPort `required:"" help:"Address and port on which callers and other VMs reach this VM."`
	Zone          string         `required:"" help:"Availability zone of this VM."`
	Platform      netip.AddrPort `required:"" help:"Address and port of the platform service that provides the configuration and the list of VMs."`
	Workers       int            `default:"512" help:"Maximum number of concurrent calls to upstreams, 1 to 10000."`
	BalancerLag   time.Duration  `default:"1s" help:"Time that the load balancer needs to notice that this VM is no longer ready."`
	LogLevel      string         `default:"info" enum:"debug,info,warn,error" help:"Minimum log level: debug, info, warn or error."`
	LogFormat     string         `default:"logfmt" enum:"logfmt,json" help:"Log format: logfmt or json."`
	Traces        string         `default:"none" enum:"none,file,otlp" help:"Trace exporter: none, file or otlp."`
	TracesFile    string         `type:"path" help:"File for trace spans, with --traces=file."`
	TracesAddress netip.AddrPort `help:"Address and port of an OTLP/HTTP receiver, with --traces=otlp."`
}

// Help returns the help text, which describes how to start, monitor and stop an entry VM.
func (c *entryCommand) Help() string {
	return `An entry VM accepts requests from callers, fans them out to the configured upstreams and merges the
shard results into one answer. It reads the configuration and the list of VMs from the platform,
serves callers, other VMs and operators on the --listen address, and logs to standard error. Each
availability zone needs at least two entry VMs.

Example, with the stand-ins that scripts/local-tier.sh starts:
  pistachioshore entry --listen 127.0.0.1:20901 --zone brest-nord --platform 127.0.0.1:20900

Endpoints: POST /v1/query, /v1/permits and /v1/orders for callers; GET /v1/status, /metrics
(Prometheus), /live and /ready (204, or 503 while the load balancer should send no requests) for operators.

SIGTERM or SIGINT starts a graceful shutdown, which takes at most 10 s and fails no accepted request.

Exit statuses: 0 stopped gracefully, 1 setting out of range, address in use or other error, 2 usage.`
}

// Run serves until the process receives SIGTERM or SIGINT.
func (c *entryCommand) Run() error {
	s, err := c.settings()
	if err != nil {
		return err
	}
	p, err := process.New(s)
	if err != nil {
		return err
	}
	return p.Run()
}

// settings validates the flags and converts them to the settings of the process.
func (c *entryCommand) settings() (process.Settings, error) {
	const maxWorkers = 10000
	switch {
	case c.Workers < 1 || c.Workers > maxWorkers:
		return process.Settings{}, result.NewFieldError(result.OutOfRange, "--workers", strconv.Itoa(c.Workers), "1 to 10000")
	case c.BalancerLag < 0 || c.BalancerLag > shutdown.MaxBalancerLag:
		return process.Settings{}, result.NewFieldError(result.OutOfRange, "--balancer-lag", c.BalancerLag.String(), "0s to "+shutdown.MaxBalancerLag.String())
	case c.Listen.Port() == 0 || c.Listen.Addr().IsUnspecified():
		return process.Settings{}, result.NewFieldError(result.OutOfRange, "--listen", c.Listen.String(), "an address that other VMs can reach, with a port above 0")
	case c.Traces == "file" && c.TracesFile == "":
		return process.Settings{}, result.NewFieldError(result.MissingField, "--traces-file", "", "a file path, with --traces=file")
	case c.Traces == "otlp" && !c.TracesAddress.IsValid():
		return process.Settings{}, result.NewFieldError(result.MissingField, "--traces-address", "", "an IP address with a port, with --traces=otlp")
	}
	return process.Settings{
		VM: vm.Settings{
			Address: c.Listen, Zone: c.Zone, Workers: c.Workers, BalancerLag: c.BalancerLag,
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Platform:  c.Platform,
		Telemetry: c.telemetryOptions(),
		LogOutput: os.Stderr,
	}, nil
}

func (c *entryCommand) telemetryOptions() telemetry.Options {
	o := telemetry.DefaultOptions()
	o.LogLevel, o.LogFormat = telemetry.LogLevel(c.LogLevel), telemetry.LogFormat(c.LogFormat)
	o.TraceExporter, o.TracePath, o.TraceEndpoint = telemetry.TraceExporter(c.Traces), c.TracesFile, c.TracesAddress
	o.VM, o.Zone = c.Listen, c.Zone
	return o
}
