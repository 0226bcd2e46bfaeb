package tier

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/audit"
	"pistachioshore.dev/entry/process"
	"pistachioshore.dev/entry/vm"
	"pistachioshore.dev/telemetry"
)

// Settings of the VMs that run in this process.
const (
	workersPerVM      = 256
	balancerLag       = 200 * time.Millisecond // clients notice a change of readiness within 50 ms, the poll interval of a VM in a child process
	readyPollInterval = 20 * time.Millisecond
)

// VM is one entry VM of the tier.
type VM struct {
	Address netip.AddrPort
	Zone    string

	runner   Runner
	recorder *audit.Recorder

	mu    sync.Mutex
	ended bool // stopped or killed
}

func newVM(t *Tier, zone string, l net.Listener) (*VM, error) {
	address := l.Addr().(*net.TCPAddr).AddrPort()
	t.network.setSegment(address, zone)
	s := RunnerSettings{Address: address, Zone: zone, PlatformAddress: t.platformServer.Address(), Index: len(t.VMs()), Listener: l}
	r, err := t.newRunner(s)
	return &VM{Address: address, Zone: zone, runner: r, recorder: t.recorder}, err
}

// newRunner returns the runner from the tier's settings, or one that runs the VM in this process if they
// provide none.
func (t *Tier) newRunner(s RunnerSettings) (Runner, error) {
	if t.settings.NewRunner != nil {
		if r, err := t.settings.NewRunner(s); r != nil || err != nil {
			return r, err
		}
	}
	o := telemetry.DefaultOptions()
	o.VM, o.Zone = s.Address, s.Zone
	p, err := process.New(process.Settings{
		VM: vm.Settings{
			Address: s.Address, Zone: s.Zone, Workers: workersPerVM, BalancerLag: balancerLag,
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Platform:     s.PlatformAddress,
		Telemetry:    o,
		LogOutput:    t.settings.LogOutput,
		Listener:     s.Listener,
		Dial:         t.network.dialFrom(s.Address),
		StepObserver: t.newStepObserver(s.Address),
	}, t.settings.VMOptions...)
	return inProcessRunner{p}, err
}

func (t *Tier) newStepObserver(address netip.AddrPort) vm.StepObserver {
	if t.settings.NewStepObserver == nil {
		return nil
	}
	return t.settings.NewStepObserver(address)
}

// Runner returns the runner of the VM.
func (v *VM) Runner() Runner {
	return v.runner
}

// Ready reports whether the VM reports itself ready to the load balancer.
func (v *VM) Ready() bool {
	return v.runner.Ready()
}

// Revision returns the configuration revision that the VM reports, or 0 if it reports none.
func (v *VM) Revision() uint64 {
	return v.runner.Revision()
}

// Running reports whether the VM has been neither stopped nor killed.
func (v *VM) Running() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.ended
}

// Stop shuts the VM down gracefully and records the planned shutdown. It does nothing if the VM has already
// been stopped or killed.
func (v *VM) Stop(ctx context.Context) error {
	if !v.markEnded() {
		return nil
	}
	from := time.Now()
	err := v.runner.Stop(ctx)
	v.recorder.RecordShutdown(audit.PlannedShutdown{VM: v.Address, From: from, To: time.Now()})
	return err
}

// Kill terminates the VM without a shutdown, as a crash does. It does nothing if the VM has already been
// stopped or killed.
func (v *VM) Kill() {
	if v.markEnded() {
		v.runner.Kill()
	}
}

// markEnded marks the VM as no longer running and reports whether it was running before.
func (v *VM) markEnded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	wasRunning := !v.ended
	v.ended = true
	return wasRunning
}

func (v *VM) waitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !v.Ready() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "VM %s", v.Address)
		}
	}
	return nil
}
