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

// listenerFile is the descriptor on which a child gets its open listener, the first after standard error.
const listenerFile = 3

// Settings of a VM in a process of its own, as demo/tier sets those in one process.
const (
	childWorkers     = 256
	childBalancerLag = 200 * time.Millisecond
)

// childSettings are the first line that a child reads.
type childSettings struct {
	Address  netip.AddrPort `json:"address"`
	Zone     string         `json:"zone"`
	Platform netip.AddrPort `json:"platform"`
}

// RunVM runs one VM for a matrix in another process until in ends; it obeys the lines of in and
// writes a line to out when the watched request has reached its step.
func RunVM(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	var s childSettings
	if !lines.Scan() {
		return errors.New("the settings of the VM are missing")
	}
	if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
		return errors.Wrap(err, "decode the settings of the VM")
	}
	t := newTrap()
	p, err := newChild(s, t.at(s.Address, func(h hit) { fmt.Fprintln(out, h.request) }))
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
			m, _ := parseMarker(step)
			t.arm(m.step)
		case "release":
			t.release()
		case "stop":
			ctx, cancel := context.WithTimeout(context.Background(), process.ShutdownTimeout)
			defer cancel()
			return p.Stop(ctx)
		}
	}
	return nil // the matrix has ended, and so does this process
}

func newChild(s childSettings, w vm.StepObserver) (*process.Process, error) {
	l, err := net.FileListener(os.NewFile(listenerFile, "listener"))
	if err != nil {
		return nil, errors.Wrap(err, "take the listener over")
	}
	o := telemetry.DefaultOptions()
	o.VM, o.Zone = s.Address, s.Zone
	return process.New(process.Settings{
		VM: vm.Settings{
			Address: s.Address, Zone: s.Zone, Workers: childWorkers, BalancerLag: childBalancerLag,
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Platform: s.Platform, Telemetry: o, LogOutput: io.Discard, Listener: l, StepObserver: w,
	})
}
