package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// program is the program of a VM, as the deploy file builds and starts it.
const program = "target/pistachio-vm"

// graceS is the time from SIGTERM until the platform sends SIGKILL, in seconds.
const graceS = 6

// zones are the availability zones of the deployment.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// vm is one VM, run as a process of its own.
type vm struct {
	name    string
	zone    string
	front   string
	ready   string
	control string
	metrics int
	path    string // of the settings file
	log     *os.File
	cmd     *exec.Cmd
	exited  chan struct{}
}

// tier starts n VMs with the given memory and waits until they are ready.
func (l *lab) startTier(n, memoryMB, linkMbps int) error {
	for i := range n {
		v := &vm{name: fmt.Sprintf("front-%d", i), zone: zones[i%len(zones)]}
		for _, a := range []*string{&v.front, &v.ready, &v.control} {
			*a = fmt.Sprintf("127.0.0.1:%d", freePort())
		}
		v.metrics = freePort()
		l.vms = append(l.vms, v)
	}
	var seeds []string
	for _, v := range l.vms[:min(n, 3)] {
		seeds = append(seeds, v.control)
	}
	for _, v := range l.vms {
		v.path = filepath.Join(l.dir, v.name+".json")
		if err := os.WriteFile(v.path, l.settings(v, seeds, memoryMB, linkMbps), 0o600); err != nil {
			return err
		}
		if err := v.start(l.dir); err != nil {
			return err
		}
	}
	return l.awaitReady(l.vms, 15*time.Second)
}

// settings returns the settings file of a VM: all fields of the platform, as the template of the deploy file renders them.
func (l *lab) settings(v *vm, seeds []string, memoryMB, linkMbps int) []byte {
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "region-1"
	}
	b, _ := json.Marshal(map[string]any{ // cannot fail
		"nodeName": v.name, "role": "entry", "machineClass": "front", "serves": []string{"front", "control"}, "ip": "127.0.0.1",
		"zone": v.zone, "region": "region-1", "zones": regions,
		"bindAddresses": map[string]string{"front": v.front, "ready": v.ready, "control": v.control},
		"internalPorts": []int{v.metrics, v.metrics}, "seeds": seeds, "bootstrap": true, "faultCounted": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": memoryMB, "maxFds": 4100, "linkMbps": linkMbps, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addressReuseS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": graceS,
			"lossSlackMs": 200, "configApplyMs": 3000, "downgradeSlackMs": 250, "maxStretchMs": 12000, "retryBudgetRatio": 0.2,
			"budgetWindowS": 10, "budgetExtraRetries": 52, "warmupOvershoot": 1.5, "warmupSlack": 5, "evacuationMs": 5000, "recoveryS": 12,
		},
		"platform": map[string]any{
			"address": l.store.address, "form": "read", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "minTtlMs": 1000,
		},
	})
	return b
}

// start starts the process with the command of the deploy file.
func (v *vm) start(dir string) error {
	out, err := os.OpenFile(filepath.Join(dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.cmd = exec.Command(program)
	v.cmd.Env = append(os.Environ(), "PISTACHIOSHORE_SETTINGS="+v.path)
	v.cmd.Stdout, v.cmd.Stderr = out, out
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.log, v.exited = out, make(chan struct{})
	go func() {
		_ = v.cmd.Wait() // the log tells why it ended
		close(v.exited)
	}()
	return nil
}

// isRunning reports whether the process has not ended.
func (v *vm) isRunning() bool {
	select {
	case <-v.exited:
		return false
	default:
		return true
	}
}

// stop kills the process.
func (v *vm) stop() {
	if v.cmd == nil || v.cmd.Process == nil {
		return
	}
	_ = v.cmd.Process.Signal(syscall.SIGCONT)
	_ = v.cmd.Process.Kill()
	<-v.exited
	_ = v.log.Close()
}

// memory returns a line of the process's status, such as VmRSS or VmHWM, in MB.
func (v *vm) memory(name string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range bytes.Split(text, []byte{'\n'}) {
		if rest, ok := strings.CutPrefix(string(line), name+":"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// isReady asks the VM for its readiness as the platform does.
func (v *vm) isReady() bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + v.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (l *lab) awaitReady(vms []*vm, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, v := range vms {
		for !v.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// usedPorts holds the ports that freePort has returned.
var usedPorts = map[int]bool{}

// freePort returns a free loopback port that was not returned before.
func freePort() int {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if !usedPorts[port] {
			usedPorts[port] = true
			return port
		}
	}
}
