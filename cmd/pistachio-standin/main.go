// Command pistachio-standin runs stand-ins for the platform and the upstreams.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/codec"
	"pistachioshore.dev/record"
	"pistachioshore.dev/standin"
	"pistachioshore.dev/standin/platform"
	"pistachioshore.dev/standin/sample"
	"pistachioshore.dev/standin/upstream"
)

type commands struct {
	Platform platformCommand `cmd:"" help:"Run the platform's configuration service and list of VMs."`
	Upstream upstreamCommand `cmd:"" help:"Run the upstreams of a configuration."`
	Config   configCommand   `cmd:"" help:"Print a firm's default configuration."`
}

func main() {
	var cli commands
	k := kong.Parse(&cli, kong.Name("pistachio-standin"), kong.DefaultEnvars("PISTACHIO"), kong.UsageOnError(),
		kong.Description("Stand-ins for what a query tier runs against."))
	k.FatalIfErrorf(k.Run())
}

// platformCommand holds the settings of the platform's stand-in.
type platformCommand struct {
	Listen netip.AddrPort `required:"" help:"Address and port to listen on."`
	File   string         `required:"" type:"existingfile" help:"Configuration file to publish."`
}

// Run serves until the process is told to stop.
func (c *platformCommand) Run() error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	s, err := standin.Serve(c.Listen, platform.New(raw))
	if err != nil {
		return err
	}
	return untilSignal(s.Close)
}

// upstreamCommand holds the settings of the upstreams' stand-ins.
type upstreamCommand struct {
	File        string        `required:"" type:"existingfile" help:"Configuration file that lists the upstreams."`
	Zone        string        `help:"Run only the upstreams of this availability zone."`
	ServiceTime time.Duration `default:"5ms" help:"Time that one request takes."`
}

// Run serves until the process is told to stop.
func (c *upstreamCommand) Run() error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	cfg, faults := codec.ParseConfig(raw)
	if len(faults) > 0 {
		return faults[0]
	}
	var servers []*standin.Server
	for _, g := range cfg.Groups {
		for _, svc := range g.Services {
			started, err := c.serveService(cfg, g, svc)
			if err != nil {
				return err
			}
			servers = append(servers, started...)
		}
	}
	fmt.Fprintf(os.Stderr, "%d upstreams\n", len(servers))
	return untilSignal(func() error {
		for _, s := range servers {
			_ = s.Close()
		}
		return nil
	})
}

func (c *upstreamCommand) serveService(cfg *catalog.Config, g catalog.Group, svc catalog.Service) ([]*standin.Server, error) {
	var servers []*standin.Server
	for _, srv := range svc.Servers {
		if c.Zone != "" && srv.Zone != c.Zone {
			continue
		}
		u := upstream.New(upstream.Settings{
			Name: srv.Name, Incarnation: fmt.Sprint(os.Getpid()), Slots: g.Slots, ServiceTime: c.ServiceTime,
		}, loader(cfg))
		s, err := standin.Serve(srv.Address, u)
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	return servers, nil
}

// loader returns the sample records of the shards of a configuration.
func loader(cfg *catalog.Config) upstream.Loader {
	byName := map[string]catalog.Shard{}
	for _, l := range cfg.Layouts {
		for _, s := range l.Shards {
			byName[s.Name] = s
		}
	}
	return func(shard string, snapshot uint64) ([]record.Record, bool) {
		s, ok := byName[shard]
		if !ok {
			return nil, false
		}
		return sample.Records(s.Name, s.From, s.Group, snapshot), true
	}
}

// configCommand holds the flags of the default configuration.
type configCommand struct {
	Firm     string `default:"armor" enum:"armor,hronec" help:"Firm: armor or hronec."`
	BasePort uint16 `default:"21000" help:"Port of the first upstream."`
}

// Run prints the configuration.
func (c *configCommand) Run() error {
	cfg, _ := sample.Config(c.Firm, c.BasePort)
	text, err := sample.YAML(cfg)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	_, err = os.Stdout.Write(text)
	return err
}

func untilSignal(stop func() error) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	<-ctx.Done()
	return stop()
}
