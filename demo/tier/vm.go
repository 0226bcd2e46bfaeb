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

// Settings of the VMs of a tier in one process.
const (
	workers     = 256
	balancerLag = 200 * time.Millisecond // the client stand-in looks at readiness every 50 ms
	readyLook   = 20 * time.Millisecond
)

// VM is one entry VM of the tier.
type VM struct {
	Address netip.AddrPort
	Zone    string

	process  *process.Process
	recorder *audit.Recorder

	mu    sync.Mutex
	ended bool
}

func newVM(t *Tier, zone string, l net.Listener) (*VM, error) {
	address := l.Addr().(*net.TCPAddr).AddrPort()
	o := telemetry.DefaultOptions()
	o.VM, o.Zone = address, zone
	p, err := process.New(process.Settings{
		VM: vm.Settings{
			Address: address, Zone: zone, Workers: workers, BalancerLag: balancerLag,
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Platform:  t.server.Address(),
		Telemetry: o,
		LogOutput: t.settings.LogOutput,
		Listener:  l,
	}, t.settings.Extra...)
	return &VM{Address: address, Zone: zone, process: p, recorder: t.recorder}, err
}

// Process returns the process of the VM.
func (v *VM) Process() *process.Process {
	return v.process
}

// Running reports whether the VM was neither stopped nor killed.
func (v *VM) Running() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.ended
}

// Stop shuts the VM down gracefully and records the planned stop; a second call does nothing.
func (v *VM) Stop(ctx context.Context) error {
	if !v.end() {
		return nil
	}
	from := time.Now()
	err := v.process.Stop(ctx)
	v.recorder.Stop(audit.Stop{VM: v.Address, From: from, To: time.Now()})
	return err
}

// Kill ends the VM as a crash would; a second call does nothing.
func (v *VM) Kill() {
	if v.end() {
		v.process.Kill()
	}
}

// end marks the VM as ended; it reports whether it was running.
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
	for !v.process.VM().Ready() {
		select {
		case <-look.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "VM %s", v.Address)
		}
	}
	return nil
}
