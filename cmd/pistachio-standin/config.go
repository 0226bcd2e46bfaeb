package main

import (
	"os"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/standin/sample"
)

// configCommand holds the flags of the config command.
type configCommand struct {
	Firm      string   `default:"armor" enum:"armor,hronec" help:"Firm: armor or hronec."`
	BasePort  uint16   `default:"21000" help:"Port of the first upstream."`
	Revision  uint64   `default:"1" help:"Revision of the configuration."`
	Snapshots []uint64 `default:"1" help:"Snapshot versions; the last one is current. Versions from 3 on use repartitioned shards."`
	ColdLimit int      `default:"0" help:"Cold-start limit of every group; derived from the slots if zero."`
	ZonesOut  []string `help:"Availability zones marked as drained."`
	Leaving   []string `help:"Upstreams marked as draining."`
}

// Help returns the help text, which describes how to use the printed configuration.
func (c *configCommand) Help() string {
	return `All commands that take a configuration file accept the output.

Example:
  pistachio-standin config --firm armor --zones-out angers-est --revision 2 >tier.yaml
  pistachioshore check tier.yaml
  curl -T tier.yaml http://127.0.0.1:20900/v1/config`
}

// Run prints the configuration.
func (c *configCommand) Run() error {
	cfg, _ := sample.Config(c.Firm, c.BasePort, sample.WithRevision(c.Revision), sample.WithSnapshots(c.Snapshots...),
		sample.WithColdLimit(c.ColdLimit), sample.WithDrainedZones(c.ZonesOut...), sample.WithLeavingServers(c.Leaving...))
	text, err := sample.YAML(cfg)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	_, err = os.Stdout.Write(text)
	return err
}
