package main

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/standin"
	"pistachioshore.dev/standin/sample"
	"pistachioshore.dev/standin/upstream"
)

// upstreamCommand holds the flags of the upstream command.
type upstreamCommand struct {
	File        string         `required:"" type:"existingfile" help:"Configuration file that lists the upstreams."`
	Zone        string         `help:"Run only the upstreams in this availability zone."`
	Control     netip.AddrPort `help:"Address and port of the control API, which returns the counters and sets the faults of all upstreams of this process."`
	ServiceTime time.Duration  `default:"5ms" help:"Mean service time of a request."`
	Spread      float64        `default:"0.3" help:"Standard deviation of the logarithm of the service time."`
	Seed        uint64         `default:"1" help:"Seed for service times and for the random selection of requests that a fault affects."`
	Queue       int            `default:"8" help:"Queue length of each upstream; requests beyond it are shed."`
	WarmTime    time.Duration  `default:"0s" help:"Time after which a cold upstream becomes warm even without requests; disabled if zero."`
	RestartTime time.Duration  `default:"500ms" help:"How long connections are refused after a crash."`
}

// Help returns the help text, which describes the requests that the running stand-ins accept.
func (c *upstreamCommand) Help() string {
	return `Example:
  pistachio-standin upstream --file tier.yaml --zone brest-nord --control 127.0.0.1:20950

Each running upstream accepts these requests in addition to those of the tier:
  GET /v1/starts  returns its counters and the requests that it started
  PUT /v1/faults  sets its faults, for example {"slow":10,"straggler-share":0.01,"straggler-factor":10}; the fields are:
    draining, unreachable, fall-over            refuse work, refuse connections, crash when overloaded while cold
    marked-draining, zone-out                   accept requests, but count them as started after a drain
    shed-share, slow                            share of requests shed, multiplier of the service time
    straggler-share, straggler-factor           share of stragglers, multiplier of their service time
    poison                                      text in a filter or key that crashes the upstream
    report-lag, reported-status, reported-load  age of health and load reports, false status, false load
    snapshots                                   snapshot versions available
    restart, silence                            act once: restart; stop answering on the open connections
A missing field clears the fault, so {} clears all of them. The --control address accepts the same two
requests for all upstreams, or for those selected by ?upstream=, ?service=, ?group= and ?zone=, even
while an upstream is unreachable. PUT /v1/config on that address loads the records of the snapshots in
a newer configuration.`
}

// Run serves until the process receives SIGINT or SIGTERM.
func (c *upstreamCommand) Run() error {
	cfg, err := readConfig(c.File)
	if err != nil {
		return err
	}
	if _, ok := cfg.Zone(c.Zone); c.Zone != "" && !ok {
		return errors.Newf("availability zone %q is not in the configuration", c.Zone)
	}
	upstreams, err := upstream.ServeAll(cfg, upstream.WithZone(c.Zone), upstream.WithLoader(sample.Loader),
		upstream.WithBaseSettings(upstream.Settings{
			ServiceTime: c.ServiceTime, Spread: c.Spread, Seed: c.Seed, QueueLimit: c.Queue,
			WarmTime: c.WarmTime, RestartTime: c.RestartTime,
		}))
	if err != nil {
		return err
	}
	defer upstreams.Close()
	if c.Control.IsValid() {
		server, err := standin.Serve(c.Control, upstreams.ControlHandler())
		if err != nil {
			return err
		}
		defer func() { _ = server.Close() }()
	}
	fmt.Fprintf(os.Stderr, "serving %d upstreams\n", len(upstreams.All()))
	waitForSignal()
	return nil
}
