package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// VM is one process of the product, started with the command of the deploy file.
type VM struct {
	Name, Zone            string
	Front, Ready, Control string

	dir     string
	process *exec.Cmd
	exited  chan struct{}
}

var (
	started   []*VM
	startedMu sync.Mutex
)

// stopAll kills the processes that this program started.
func stopAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, vm := range started {
		vm.Kill()
	}
}

// freeAddress returns a free loopback address for a VM, which opens it later. Its port is below those that the kernel gives
// to outgoing connections, so that none of these takes it in between.
func freeAddress() string {
	for range 1000 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12_000+nextPort.Add(1)%20_000))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	unable(errors.New("there is no free port"))
	return ""
}

// nextPort is where the search for a free port goes on. It starts at a place of the process, so that cases that run at the
// same time take other ports.
var nextPort atomic.Int64

func init() {
	nextPort.Store(int64(os.Getpid()) * 37)
}

// NewVMs returns VMs of the given zones that know one another through seeds. They are not started.
func NewVMs(dir, store string, zones []string) []*VM {
	var vms []*VM
	var seeds []string
	for i, zone := range zones {
		vm := &VM{Name: fmt.Sprintf("front-%s-%d", zone, i+1), Zone: zone, Front: freeAddress(), Ready: freeAddress(), Control: freeAddress(), dir: dir}
		vms = append(vms, vm)
		if len(seeds) < 3 {
			seeds = append(seeds, vm.Control)
		}
	}
	for _, vm := range vms {
		vm.writeSettings(store, seeds)
		startedMu.Lock()
		started = append(started, vm)
		startedMu.Unlock()
	}
	return vms
}

// writeSettings writes the settings file as the platform renders it: all fields as JSON.
func (vm *VM) writeSettings(store string, seeds []string) {
	_, metrics, _ := net.SplitHostPort(freeAddress())
	port, _ := strconv.Atoi(metrics)
	settings := map[string]any{
		"nodeName": vm.Name, "role": "entry", "machineClass": "front", "serves": []string{"front", "control"}, "ip": "127.0.0.1",
		"zone": vm.Zone, "region": "armorique",
		"zones":         map[string]string{"brest-nord": "armorique", "angers-est": "armorique", "cherbourg-sud": "armorique"},
		"bindAddresses": map[string]string{"front": vm.Front, "ready": vm.Ready, "control": vm.Control},
		"internalPorts": []int{port, port}, "seeds": seeds, "bootstrap": true, "faultCounted": false,
		"limits":    map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir":   nil,
		"discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addressReuseS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6, "lossSlackMs": 200,
			"configApplyMs": 3000, "downgradeSlackMs": 250, "maxStretchMs": 12000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
			"budgetExtraRetries": 52, "warmupOvershoot": 1.5, "warmupSlack": 5, "evacuationMs": 5000, "recoveryS": 12,
		},
		"platform": map[string]any{"address": store, "form": "read", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "minTtlMs": 1000},
	}
	b, err := json.Marshal(settings)
	unable(err)
	unable(os.WriteFile(vm.settingsPath(), b, 0o600))
}

func (vm *VM) settingsPath() string {
	return filepath.Join(vm.dir, vm.Name+".json")
}

// Start starts the process.
func (vm *VM) Start() {
	out, err := os.OpenFile(filepath.Join(vm.dir, vm.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	unable(err)
	defer out.Close()
	cmd := exec.Command("target/pistachio-vm")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PISTACHIOSHORE_SETTINGS=" + vm.settingsPath()}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	unable(cmd.Start())
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	vm.process, vm.exited = cmd, exited
}

// Kill kills the process and waits until it has ended.
func (vm *VM) Kill() {
	if vm.process == nil {
		return
	}
	_ = vm.process.Process.Kill()
	<-vm.exited
}

// Stop asks the process to stop, as the platform does for planned work, and waits until it has ended.
func (vm *VM) Stop() {
	_ = vm.process.Process.Signal(syscall.SIGTERM)
	<-vm.exited
}

// WaitReady waits until the VM reports that it is ready.
func (vm *VM) WaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + vm.Ready + "/v1/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	log, _ := os.ReadFile(filepath.Join(vm.dir, vm.Name+".log"))
	lines := strings.Split(strings.TrimSpace(string(log)), "\n")
	unable(fmt.Errorf("%s is not ready within %v, its last line: %s", vm.Name, limit, lines[len(lines)-1]))
}
