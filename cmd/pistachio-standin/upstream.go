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

// upstreamCommand holds the settings of the upstreams' stand-ins.
type upstreamCommand struct {
	File        string         `required:"" type:"existingfile" help:"Configuration file that lists the upstreams."`
	Zone        string         `help:"Run only the upstreams of this availability zone."`
	Control     netip.AddrPort `help:"Address and port for the counts and faults of all upstreams of this process."`
	ServiceTime time.Duration  `default:"5ms" help:"Mean time that one request runs."`
	Spread      float64        `default:"0.3" help:"Standard deviation of the logarithm of the service time."`
	Seed        uint64         `default:"1" help:"Seed of the service times and of the shares in the faults."`
	Queue       int            `default:"8" help:"Requests that wait for a slot at one upstream; further ones are shed."`
	WarmTime    time.Duration  `default:"0s" help:"Time after which a cold upstream is warm in any case; none if zero."`
	RestartTime time.Duration  `default:"500ms" help:"Time for which connections are refused after a crash."`
}

// Help describes what can be sent while the stand-ins run.
func (c *upstreamCommand) Help() string {
	return `Example:
  pistachio-standin upstream --file tier.yaml --zone brest-nord --control 127.0.0.1:20950

Requests to each upstream while it runs, besides the published protocol:
  GET /v1/starts  what it has counted
  PUT /v1/faults  for example {"slow":10,"straggler-share":0.01,"straggler-factor":10}; the fields are:
    draining, unreachable, fall-over           refuse work, refuse connections, restart when overloaded while cold
    marked-draining, zone-out                  only count starts as late
    shed-share, slow                           share of requests shed, factor on the service time
    straggler-share, straggler-factor          share of stragglers, factor on their service time
    poison                                     text in a filter or key that crashes the upstream
    report-lag, reported-status, reported-load late or untrue health and load reports
    snapshots                                  versions held
    restart, silence                           act once: restart, make present connections silent
An absent field means no fault, so {} ends them all. The address of --control answers the same two
requests for all upstreams, or for those that ?upstream=, ?service=, ?group= and ?zone= select, also
while an upstream is unreachable; PUT /v1/config there loads the records of a later configuration.`
}

// Run serves until the process is told to stop.
func (c *upstreamCommand) Run() error {
	cfg, err := readConfig(c.File)
	if err != nil {
		return err
	}
	if _, ok := cfg.Zone(c.Zone); c.Zone != "" && !ok {
		return errors.Newf("the configuration has no availability zone %q", c.Zone)
	}
	set, err := upstream.ServeAll(cfg, upstream.WithZone(c.Zone), upstream.WithLoader(sample.Loader),
		upstream.WithBaseSettings(upstream.Settings{
			ServiceTime: c.ServiceTime, Spread: c.Spread, Seed: c.Seed, QueueLimit: c.Queue,
			WarmTime: c.WarmTime, RestartTime: c.RestartTime,
		}))
	if err != nil {
		return err
	}
	defer set.Close()
	if c.Control.IsValid() {
		s, err := standin.Serve(c.Control, set.ControlHandler())
		if err != nil {
			return err
		}
		defer func() { _ = s.Close() }()
	}
	fmt.Fprintf(os.Stderr, "%d upstreams\n", len(set.All()))
	untilSignal()
	return nil
}
