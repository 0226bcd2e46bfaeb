package main

import (
	"net/netip"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/standin"
	"pistachioshore.dev/standin/platform"
	"pistachioshore.dev/wire"
)

// platformCommand holds the flags of the platform command.
type platformCommand struct {
	Listen netip.AddrPort `required:"" help:"Address and port to listen on."`
	File   string         `required:"" type:"existingfile" help:"Configuration file to publish; it is not validated, because the real platform does not validate it either."`
	VM     []listedVM     `name:"vm" placeholder:"ADDRESS=ZONE" help:"Live VM to put on the list; can be repeated. PUT /v1/vms replaces the list."`
}

// Help returns the help text, which describes the requests that the running stand-in accepts.
func (c *platformCommand) Help() string {
	return `Example:
  pistachio-standin platform --listen 127.0.0.1:20900 --file tier.yaml --vm 127.0.0.1:20901=brest-nord

The running stand-in accepts these requests:
  GET /v1/config?after=TAG&wait=SECONDS  return the published value, with its tag in the Revision header
  GET /v1/vms                            return the list of VMs
  PUT /v1/config                         publish a value of at most 1 MiB
  PUT /v1/vms                            {"revision":0,"vms":[{"address":"127.0.0.1:20901","zone":"brest-nord","state":"live"}]}
  PUT /v1/faults                         {"down":"close"|"unavailable","stale-tag":1,"delay":"200ms","list-lag":"5s","list-frozen":true}
A fault whose field is missing is cleared, so {} clears all of them.`
}

// Run serves until the process receives SIGINT or SIGTERM.
func (c *platformCommand) Run() error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	p := platform.New(raw)
	vms := make([]wire.VM, 0, len(c.VM))
	for _, vm := range c.VM {
		vms = append(vms, wire.VM{Address: vm.address, Zone: vm.zone, State: "live"})
	}
	if err := p.SetVMs(vms); err != nil {
		return err
	}
	server, err := standin.Serve(c.Listen, p)
	if err != nil {
		return err
	}
	waitForSignal()
	return server.Close()
}

// listedVM is the address and zone of a VM, given as ADDRESS=ZONE.
type listedVM struct {
	address netip.AddrPort
	zone    string
}

// UnmarshalText parses text of the form ADDRESS=ZONE.
func (v *listedVM) UnmarshalText(text []byte) error {
	address, zone, ok := strings.Cut(string(text), "=")
	if !ok || zone == "" {
		return errors.Newf("VM %q does not have the form ADDRESS=ZONE", text)
	}
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Newf("VM address %q is not an IP address with a port", address)
	}
	v.address, v.zone = a, zone
	return nil
}
