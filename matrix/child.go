package matrix

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/entry/process"
	"pistachioshore.dev/entry/vm"
	"pistachioshore.dev/telemetry"
)

// listenerFD is the file descriptor on which a child process inherits its listener, the first one after standard error.
const listenerFD = 3

// Settings of a VM in a child process. They equal those that demo/tier uses for VMs in its own process.
const (
	childWorkers     = 256
	childBalancerLag = 200 * time.Millisecond
)

// childSettings is the first line that a child process reads from its standard input.
type childSettings struct {
	Address  netip.AddrPort `json:"address"`
	Zone     string         `json:"zone"`
	Platform netip.AddrPort `json:"platform"`
}

// RunVM runs one VM in this process for a matrix in the parent process. It executes the commands in the lines of in,
// writes the ID of the watched request to out when it has reached its step, and returns at the end of in.
func RunVM(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	var s childSettings
	if !lines.Scan() {
		return errors.New("read the settings of the VM: unexpected end of input")
	}
	if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
		return errors.Wrap(err, "decode the settings of the VM")
	}
	b := newBreakpoint()
	p, err := newChildProcess(s, b.observer(s.Address, func(h hit) { fmt.Fprintln(out, h.requestID) }))
	if err != nil {
		return err
	}
	if err := p.Start(context.Background()); err != nil {
		return err
	}
	for lines.Scan() {
		command, step, _ := strings.Cut(lines.Text(), " ")
		switch command {
		case "arm":
			t, _ := parseTrigger(step)
			b.arm(t.step)
		case "release":
			b.release()
		case "stop":
			ctx, cancel := context.WithTimeout(context.Background(), process.ShutdownTimeout)
			defer cancel()
			return p.Stop(ctx)
		}
	}
	return nil // the parent process has exited
}

func newChildProcess(s childSettings, observer vm.StepObserver) (*process.Process, error) {
	l, err := net.FileListener(os.NewFile(listenerFD, "listener"))
	if err != nil {
		return nil, errors.Wrap(err, "open the inherited listener")
	}
	o := telemetry.DefaultOptions()
	o.VM, o.Zone = s.Address, s.Zone
	return process.New(process.Settings{
		VM: vm.Settings{
			Address: s.Address, Zone: s.Zone, Workers: childWorkers, BalancerLag: childBalancerLag,
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Platform: s.Platform, Telemetry: o, LogOutput: io.Discard, Listener: l, StepObserver: observer,
	})
}
