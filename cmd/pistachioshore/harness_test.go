package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"
	"time"

	"pistachioshore.dev/standin/sample"
	"pistachioshore.dev/wire"
)

// Offsets of the listening ports from the base port. The ports of the upstreams come first.
const (
	upstreamPortCount = 120
	platformPort      = upstreamPortCount
	controlPort       = platformPort + 1 // one per zone
	entryPort         = controlPort + 3  // two per zone
	unusedPort        = entryPort + 6
	portCount         = unusedPort + 1
)

// waitTimeout is the timeout of each wait for a condition. It is generous so that tests pass on a loaded host.
const waitTimeout = 30 * time.Second

// testTier is the tier of a firm, run as separate processes on loopback.
type testTier struct {
	t             *testing.T
	dir           string
	basePort      uint16
	startRequests chan startRequest
	entries       []*testEntry
}

// testEntry is the process of one entry VM.
type testEntry struct {
	address netip.AddrPort
	zone    string
	process *testProcess
}

// testProcess is a running child process.
type testProcess struct {
	cmd     *exec.Cmd
	logPath string
	exited  chan struct{} // closed when the process has exited
}

type startRequest struct {
	cmd    *exec.Cmd
	result chan error
}

var (
	testZones      = []string{"brest-nord", "angers-est", "cherbourg-sud"}
	testHTTPClient = &http.Client{Timeout: 5 * time.Second}
)

// newTestTier builds the commands and starts all processes, which are stopped when the test ends. If
// firstWithoutPlatform is set, the first entry VM cannot reach the platform.
func newTestTier(t *testing.T, firstWithoutPlatform bool) *testTier {
	t.Helper()
	tier := &testTier{t: t, dir: t.TempDir(), basePort: freePorts(t), startRequests: make(chan startRequest)}
	build := exec.Command("go", "build", "-o", tier.dir+"/", "pistachioshore.dev/cmd/pistachioshore", "pistachioshore.dev/cmd/pistachio-standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	go tier.startProcesses()
	t.Cleanup(func() { close(tier.startRequests) })
	configPath := tier.writeFile("tier.yaml", tier.config())
	platformArgs := []string{"platform", "--listen", tier.address(platformPort).String(), "--file", configPath}
	for i, zone := range testZones {
		tier.startProcess("pistachio-standin", "upstream", "--file", configPath, "--zone", zone, "--control", tier.address(controlPort+i).String())
		for n := range 2 {
			e := &testEntry{address: tier.address(entryPort + 2*i + n), zone: zone}
			tier.entries = append(tier.entries, e)
			platformArgs = append(platformArgs, "--vm", e.address.String()+"="+zone)
		}
	}
	tier.startProcess("pistachio-standin", platformArgs...)
	waitUntil(t, "the platform", func() bool { return httpStatus(tier.address(platformPort), "/v1/vms") == http.StatusOK })
	for i, e := range tier.entries {
		platformAddress := tier.address(platformPort)
		if firstWithoutPlatform && i == 0 {
			platformAddress = tier.address(unusedPort)
		}
		tier.startEntry(e, platformAddress)
	}
	tier.waitReady(tier.entries...)
	return tier
}

func (tier *testTier) startEntry(e *testEntry, platform netip.AddrPort) {
	tier.t.Helper()
	e.process = tier.startProcess("pistachioshore", "entry", "--listen", e.address.String(), "--zone", e.zone, "--platform", platform.String())
}

// freePorts returns the first port of a free block. The block is below the ephemeral port range, so that
// outgoing connections do not occupy its ports.
func freePorts(t *testing.T) uint16 {
	t.Helper()
	for range 50 {
		base := uint16(10000 + rand.IntN(20000-portCount))
		if allPortsFree(base) {
			return base
		}
	}
	t.Fatal("found no block of free ports")
	return 0
}

func allPortsFree(base uint16) bool {
	for n := range uint16(portCount) {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+n))
		if err != nil {
			return false
		}
		defer func() { _ = l.Close() }()
	}
	return true
}

// startProcesses starts all child processes from one locked OS thread. With Pdeathsig, the kernel kills a
// child when the thread that started it exits, so that the children also end if the test is killed.
func (tier *testTier) startProcesses() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for r := range tier.startRequests {
		r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		r.result <- r.cmd.Start()
	}
}

// startProcess starts a long-running process. Its output is logged if the test fails.
func (tier *testTier) startProcess(program string, args ...string) *testProcess {
	tier.t.Helper()
	logFile, err := os.CreateTemp(tier.dir, program+"-*.log")
	if err != nil {
		tier.t.Fatal(err)
	}
	process := &testProcess{cmd: exec.Command(filepath.Join(tier.dir, program), args...), logPath: logFile.Name(), exited: make(chan struct{})}
	process.cmd.Stdout, process.cmd.Stderr = logFile, logFile
	request := startRequest{cmd: process.cmd, result: make(chan error)}
	tier.startRequests <- request
	err = <-request.result
	_ = logFile.Close()
	if err != nil {
		tier.t.Fatal(err)
	}
	go func() {
		_ = process.cmd.Wait() // callers read the exit status from ProcessState
		close(process.exited)
	}()
	tier.t.Cleanup(func() { tier.killProcess(process, args) })
	return process
}

func (tier *testTier) killProcess(p *testProcess, args []string) {
	_ = p.cmd.Process.Kill()
	<-p.exited
	if text, err := os.ReadFile(p.logPath); tier.t.Failed() && err == nil && len(text) > 0 {
		tier.t.Logf("%v:\n%s", args, text)
	}
}

// runCommand runs the pistachioshore command to completion and returns its output and exit status.
func (tier *testTier) runCommand(args ...string) (stdout, stderr string, status int) {
	tier.t.Helper()
	var out, errs bytes.Buffer
	cmd := exec.Command(filepath.Join(tier.dir, "pistachioshore"), args...)
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Run(); err != nil && cmd.ProcessState == nil {
		tier.t.Fatal(err)
	}
	return out.String(), errs.String(), cmd.ProcessState.ExitCode()
}

func (tier *testTier) address(offset int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), tier.basePort+uint16(offset))
}

func (tier *testTier) config(opts ...sample.Option) []byte {
	tier.t.Helper()
	cfg, _ := sample.Config("armor", tier.basePort, opts...)
	text, err := sample.YAML(cfg)
	if err != nil {
		tier.t.Fatal(err)
	}
	return text
}

func (tier *testTier) writeFile(name string, text []byte) string {
	tier.t.Helper()
	path := filepath.Join(tier.dir, name)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		tier.t.Fatal(err)
	}
	return path
}

// publish publishes a configuration on the platform.
func (tier *testTier) publish(text []byte) {
	tier.t.Helper()
	tier.put("http://"+tier.address(platformPort).String()+"/v1/config", text)
}

// setFaults sets the faults of the selected upstreams. It skips zones without a matching upstream.
func (tier *testTier) setFaults(selector, faults string) {
	tier.t.Helper()
	for i := range testZones {
		url := "http://" + tier.address(controlPort+i).String() + "/v1/starts?" + selector
		if resp, err := testHTTPClient.Get(url); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				continue
			}
		}
		tier.put("http://"+tier.address(controlPort+i).String()+"/v1/faults?"+selector, []byte(faults))
	}
}

func (tier *testTier) put(url string, body []byte) {
	tier.t.Helper()
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		tier.t.Fatal(err)
	}
	resp, err := testHTTPClient.Do(req)
	if err != nil {
		tier.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(resp.Body)
		tier.t.Fatalf("PUT %s: %s %s", url, resp.Status, text)
	}
}

// upstreamCounts returns the counters of all upstreams in a zone.
func (tier *testTier) upstreamCounts(zone int) []wire.UpstreamCounts {
	tier.t.Helper()
	resp, err := testHTTPClient.Get("http://" + tier.address(controlPort+zone).String() + "/v1/starts")
	if err != nil {
		tier.t.Fatal(err)
	}
	list, err := decodeResponse[wire.UpstreamCountsList](resp)
	if err != nil {
		tier.t.Fatal(err)
	}
	return list.Items
}

// vmStatus returns the status of a VM, as printed by the status command.
func (tier *testTier) vmStatus(e *testEntry) (wire.Status, bool) {
	var s wire.Status
	out, _, exitStatus := tier.runCommand("status", "--entry", e.address.String(), "--report", "json")
	return s, exitStatus == 0 && json.Unmarshal([]byte(out), &s) == nil
}

func (tier *testTier) waitReady(entries ...*testEntry) {
	tier.t.Helper()
	for _, e := range entries {
		waitUntil(tier.t, "readiness of "+e.address.String(), func() bool { return readinessStatus(e) == http.StatusNoContent })
	}
}

// readinessStatus returns the HTTP status of a VM's readiness endpoint, or 0 if the VM does not respond.
func readinessStatus(e *testEntry) int { return httpStatus(e.address, "/ready") }

// httpStatus returns the HTTP status of a GET request, or 0 if it fails.
func httpStatus(address netip.AddrPort, path string) int {
	resp, err := testHTTPClient.Get("http://" + address.String() + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// waitUntil polls a condition every 20 ms and fails the test if it is not met within waitTimeout.
func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.After(waitTimeout)
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-deadline:
			t.Fatalf("waiting for %s: timed out after %s", description, waitTimeout)
		}
	}
}
