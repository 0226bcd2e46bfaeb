package soak

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// vm is one VM, run as a separate process.
type vm struct {
	name           string
	zone           string
	frontAddress   netip.AddrPort
	readyAddress   netip.AddrPort
	controlAddress netip.AddrPort
	metricsAddress netip.AddrPort // invalid for seeds that do not read the metrics
	storeProxy     *proxy
	command        []string
	dir            string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// settings is the part of a process's platform settings that the program reads.
type settings struct {
	Name  string                    `json:"nodeName"`
	Zone  string                    `json:"zone"`
	IP    string                    `json:"ip"`
	Zones map[string]string         `json:"zones"`
	Bind  map[string]netip.AddrPort `json:"bindAddresses"`
	Seeds []netip.AddrPort          `json:"seeds"`
	Ports []uint16                  `json:"internalPorts,omitempty"`

	Limits map[string]float64        `json:"limits"`
	Bounds map[string]float64        `json:"bounds"`
	Store  map[string]netip.AddrPort `json:"platform"`
}

// writeSettings writes the VM's settings file.
func (v *vm) writeSettings(seeds []netip.AddrPort) error {
	s := settings{
		Name: v.name, Zone: v.zone, IP: "127.0.0.1", Zones: map[string]string{zoneA: region, zoneB: region},
		Bind:   map[string]netip.AddrPort{"front": v.frontAddress, "ready": v.readyAddress, "control": v.controlAddress},
		Seeds:  seeds,
		Limits: map[string]float64{"memoryMb": 284, "cpuShare": 0.4, "cores": 1},
		Bounds: map[string]float64{"retryBudgetRatio": 0.2, "budgetExtraRetries": 52, "graceS": gracePeriod.Seconds(), "warmupOvershoot": 1.5, "warmupSlack": 5},
		Store:  map[string]netip.AddrPort{"address": v.storeProxy.address()},
	}
	if v.metricsAddress.IsValid() {
		s.Ports = []uint16{v.metricsAddress.Port()}
	}
	b, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "encode the settings")
	}
	return errors.Wrap(os.WriteFile(v.settingsPath(), b, 0o600), "write the settings")
}

func (v *vm) settingsPath() string {
	return filepath.Join(v.dir, v.name+".json")
}

// start starts the process and appends its output to a log file. It does nothing if the process is running, as
// when two overlapping actions restart the same VM; a second process would outlive the soak.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.running() {
		return nil
	}
	out, err := os.OpenFile(filepath.Join(v.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the log of a VM")
	}
	defer func() { _ = out.Close() }() // the process has its own file descriptor
	cmd := exec.Command(v.command[0], v.command[1:]...)
	cmd.Env = append(os.Environ(), "PISTACHIOSHORE_SETTINGS="+v.settingsPath())
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start a VM")
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the exit status does not matter, because the soak kills the process itself
		close(exited)
	}()
	v.process, v.exited = cmd, exited
	return nil
}

// running reports whether the process has started and not exited; the caller holds v.mu.
func (v *vm) running() bool {
	if v.process == nil {
		return false
	}
	select {
	case <-v.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process, if it has been started and has not exited.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		_ = v.process.Process.Signal(s)
	}
}

// waitExit waits for the process to exit and reports whether it did so in time.
func (v *vm) waitExit(limit time.Duration) bool {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-exited:
		return true
	case <-timer.C:
		return false
	}
}

// isReady checks the VM's readiness as the load balancer does.
func (v *vm) isReady(client *http.Client) bool {
	resp, err := client.Get("http://" + v.readyAddress.String() + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// portAllocator allocates loopback ports that are neither the kernel's ephemeral ports nor used by the tests of
// the commands.
type portAllocator struct {
	next uint16
}

// newPortAllocator returns an allocator for the port range of a seed, so that soaks with other seeds can run at
// the same time.
func newPortAllocator(seed uint64) *portAllocator {
	const firstPort, portsPerSeed, seedCount = 30_000, 27, 100
	return &portAllocator{firstPort + portsPerSeed*uint16(seed%seedCount)}
}

// allocate returns the next free address.
func (p *portAllocator) allocate() (netip.AddrPort, error) {
	const tries = 15
	var err error
	for range tries {
		var l net.Listener
		p.next++
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), p.next)
		if l, err = net.Listen("tcp", address.String()); err == nil {
			_ = l.Close()
			return address, nil
		}
	}
	return netip.AddrPort{}, errors.Wrap(err, "find a free port")
}

// kill kills the process and waits for its exit.
func (v *vm) kill() {
	v.signal(syscall.SIGCONT) // so that a paused process ends as well
	v.signal(syscall.SIGKILL)
	v.waitExit(gracePeriod)
}

// stop asks the process to shut down.
func (v *vm) stop() {
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGTERM)
}
