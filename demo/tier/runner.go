package tier

import (
	"context"
	"net"
	"net/netip"

	"pistachioshore.dev/entry/process"
)

// Runner runs one VM, in this process or in one of its own.
type Runner interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
	Kill()
	Ready() bool
	Revision() uint64 // revision in force, 0 if it is not known
}

// RunnerSettings is where a VM runs.
type RunnerSettings struct {
	Address         netip.AddrPort
	Zone            string
	PlatformAddress netip.AddrPort
	Index           int          // VMs of the tier before this one
	Listener        net.Listener // open on the address
}

// inProcess runs a VM in this process.
type inProcess struct {
	*process.Process
}

func (p inProcess) Ready() bool {
	return p.VM().Ready()
}

func (p inProcess) Revision() uint64 {
	return p.VM().Status().Revision
}
