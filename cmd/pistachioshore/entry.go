package main

import (
	"net/netip"
	"os"
	"strconv"
	"time"

	"pistachioshore.dev/entry/process"
	"pistachioshore.dev/entry/vm"
	"pistachioshore.dev/result"
	"pistachioshore.dev/telemetry"
)

// entryCommand holds the settings of an entry VM.
type entryCommand struct {
	Listen        netip.AddrPort `required:"" help:"Address and port that callers and other VMs reach this VM at."`
	Zone          string         `required:"" help:"Availability zone of this VM."`
	Platform      netip.AddrPort `required:"" help:"Address and port of the platform's configuration service and list of VMs."`
	Workers       int            `default:"512" help:"Calls under way at upstreams at one time, 1 to 10000."`
	BalancerLag   time.Duration  `default:"1s" help:"Time that the load balancer needs to notice that this VM is not ready."`
	LogLevel      string         `default:"info" enum:"debug,info,warn,error" help:"Least level of log lines: debug, info, warn or error."`
	LogFormat     string         `default:"logfmt" enum:"logfmt,json" help:"Form of log lines: logfmt or json."`
	Traces        string         `default:"none" enum:"none,file,otlp" help:"Where spans go: none, file or otlp."`
	TracesFile    string         `type:"path" help:"File for spans, with --traces=file."`
	TracesAddress string         `help:"Host and port of an OTLP receiver, with --traces=otlp."`
}

// Run serves until the process is told to stop.
func (c *entryCommand) Run() error {
	s, err := c.settings()
	if err != nil {
		return err
	}
	app := process.New(s)
	app.Run()
	return app.Err()
}

// settings checks the flags and turns them into the settings of the process.
func (c *entryCommand) settings() (process.Settings, error) {
	const maxWorkers = 10000
	const maxLag = 4 * time.Second // leaves half of the shutdown's bound for the rest
	switch {
	case c.Workers < 1 || c.Workers > maxWorkers:
		return process.Settings{}, result.Field(result.OutOfRange, "--workers", strconv.Itoa(c.Workers), "1 to 10000")
	case c.BalancerLag < 0 || c.BalancerLag > maxLag:
		return process.Settings{}, result.Field(result.OutOfRange, "--balancer-lag", c.BalancerLag.String(), "0s to "+maxLag.String())
	case c.Listen.Port() == 0 || c.Listen.Addr().IsUnspecified():
		return process.Settings{}, result.Field(result.OutOfRange, "--listen", c.Listen.String(), "an address that other VMs can reach, with a port above 0")
	case c.Traces == "file" && c.TracesFile == "":
		return process.Settings{}, result.Field(result.MissingField, "--traces-file", "", "a file path, with --traces=file")
	case c.Traces == "otlp" && c.TracesAddress == "":
		return process.Settings{}, result.Field(result.MissingField, "--traces-address", "", "a host and port, with --traces=otlp")
	}
	return process.Settings{
		VM: vm.Settings{
			Address: c.Listen, Zone: c.Zone, Workers: c.Workers, BalancerLag: c.BalancerLag,
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Platform:  c.Platform,
		LogOutput: os.Stderr,
	}, nil
}
