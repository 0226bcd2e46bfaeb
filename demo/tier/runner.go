package tier

import (
	"context"
	"net"
	"net/netip"

	"pistachioshore.dev/entry/process"
)

// Runner runs one VM, either in this process or in a separate one.
type Runner interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error // shuts the VM down gracefully
	Kill()                          // terminates the VM without a shutdown
	Ready() bool                    // as reported to the load balancer
	Revision() uint64               // current configuration revision; 0 if unknown
}

// RunnerSettings holds what a Runner needs to run one VM.
type RunnerSettings struct {
	Address         netip.AddrPort
	Zone            string
	PlatformAddress netip.AddrPort
	Index           int          // number of VMs that the tier had before this one
	Listener        net.Listener // already bound to Address
}

// inProcessRunner runs a VM in this process.
type inProcessRunner struct {
	*process.Process
}

func (r inProcessRunner) Ready() bool {
	return r.VM().Ready()
}

func (r inProcessRunner) Revision() uint64 {
	return r.VM().Status().Revision
}
