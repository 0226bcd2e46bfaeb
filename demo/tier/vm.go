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
	workers     = 256
	balancerLag = 200 * time.Millisecond // the stand-in client checks readiness every 50 ms
	readyLook   = 20 * time.Millisecond
)

// VM is one entry VM of the tier.
type VM struct {
	Address netip.AddrPort
	Zone    string

	runner   Runner
	recorder *audit.Recorder

	mu    sync.Mutex
	ended bool
}

func newVM(t *Tier, zone string, l net.Listener) (*VM, error) {
	address := l.Addr().(*net.TCPAddr).AddrPort()
	t.network.place(address, zone)
	p := RunnerSettings{Address: address, Zone: zone, PlatformAddress: t.server.Address(), Index: len(t.VMs()), Listener: l}
	r, err := t.runner(p)
	return &VM{Address: address, Zone: zone, runner: r, recorder: t.recorder}, err
}

// newRunner returns the runner from the tier's settings, or one that runs the VM in this process if they
// provide none.
func (t *Tier) runner(place RunnerSettings) (Runner, error) {
	if t.settings.NewRunner != nil {
		if r, err := t.settings.NewRunner(place); r != nil || err != nil {
			return r, err
		}
	}
	o := telemetry.DefaultOptions()
	o.VM, o.Zone = place.Address, place.Zone
	p, err := process.New(process.Settings{
		VM: vm.Settings{
			Address: place.Address, Zone: place.Zone, Workers: workers, BalancerLag: balancerLag,
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Platform:     place.PlatformAddress,
		Telemetry:    o,
		LogOutput:    t.settings.LogOutput,
		Listener:     place.Listener,
		Dial:         t.network.dialFrom(place.Address),
		StepObserver: t.watcher(place.Address),
	}, t.settings.VMOptions...)
	return inProcess{p}, err
}

func (t *Tier) watcher(address netip.AddrPort) vm.StepObserver {
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
	if !v.end() {
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
	if v.end() {
		v.runner.Kill()
	}
}

// markEnded marks the VM as no longer running and reports whether it was running before.
func (v *VM) end() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	was := !v.ended
	v.ended = true
	return was
}

func (v *VM) waitReady(ctx context.Context) error {
	look := time.NewTicker(readyLook)
	defer look.Stop()
	for !v.Ready() {
		select {
		case <-look.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "VM %s", v.Address)
		}
	}
	return nil
}
