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
	upstreamPorts = 120
	platformPort  = upstreamPorts
	controlPort   = platformPort + 1 // one per zone
	entryPort     = controlPort + 3  // two per zone
	unusedPort    = entryPort + 6
	allPorts      = unusedPort + 1
)

// waitBound is the timeout of each wait for a condition. It is generous so that tests pass on a loaded host.
const waitBound = 30 * time.Second

// testTier is the tier of a firm, run as separate processes on loopback.
type testTier struct {
	t       *testing.T
	bin     string
	base    uint16
	start   chan startRequest
	entries []*testEntry
}

// testEntry is the process of one entry VM.
type testEntry struct {
	address netip.AddrPort
	zone    string
	process *testProcess
}

// testProcess is a running child process.
type testProcess struct {
	cmd  *exec.Cmd
	log  string
	done chan struct{} // closed when the process has exited
}

type startRequest struct {
	cmd  *exec.Cmd
	done chan error
}

var (
	testZones = []string{"brest-nord", "angers-est", "cherbourg-sud"}
	testHTTP  = &http.Client{Timeout: 5 * time.Second}
)

// newTestTier builds the commands and starts all processes, which are stopped when the test ends. If
// cutOff is set, the first entry VM cannot reach the platform.
func newTestTier(t *testing.T, cutOff bool) *testTier {
	t.Helper()
	tier := &testTier{t: t, bin: t.TempDir(), base: freePorts(t), start: make(chan startRequest)}
	build := exec.Command("go", "build", "-o", tier.bin+"/", "pistachioshore.dev/cmd/pistachioshore", "pistachioshore.dev/cmd/pistachio-standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	go tier.startProcesses()
	t.Cleanup(func() { close(tier.start) })
	file := tier.writeFile("tier.yaml", tier.config())
	platform := []string{"platform", "--listen", tier.at(platformPort).String(), "--file", file}
	for i, zone := range testZones {
		tier.run("pistachio-standin", "upstream", "--file", file, "--zone", zone, "--control", tier.at(controlPort+i).String())
		for n := range 2 {
			e := &testEntry{address: tier.at(entryPort + 2*i + n), zone: zone}
			tier.entries = append(tier.entries, e)
			platform = append(platform, "--vm", e.address.String()+"="+zone)
		}
	}
	tier.run("pistachio-standin", platform...)
	waitUntil(t, "the platform", func() bool { return get(tier.at(platformPort), "/v1/vms") == http.StatusOK })
	for i, e := range tier.entries {
		from := tier.at(platformPort)
		if cutOff && i == 0 {
			from = tier.at(unusedPort)
		}
		tier.startEntry(e, from)
	}
	tier.waitReady(tier.entries...)
	return tier
}

func (tier *testTier) startEntry(e *testEntry, platform netip.AddrPort) {
	tier.t.Helper()
	e.process = tier.run("pistachioshore", "entry", "--listen", e.address.String(), "--zone", e.zone, "--platform", platform.String())
}

// freePorts returns the first port of a free block. The block is below the ephemeral port range, so that
// outgoing connections do not occupy its ports.
func freePorts(t *testing.T) uint16 {
	t.Helper()
	for range 50 {
		base := uint16(10000 + rand.IntN(20000-allPorts))
		if portsFree(base) {
			return base
		}
	}
	t.Fatal("found no block of free ports")
	return 0
}

func portsFree(base uint16) bool {
	for n := range uint16(allPorts) {
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
	for r := range tier.start {
		r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		r.done <- r.cmd.Start()
	}
}

// run starts a long-running process. Its output is logged if the test fails.
func (tier *testTier) run(program string, args ...string) *testProcess {
	tier.t.Helper()
	log, err := os.CreateTemp(tier.bin, program+"-*.log")
	if err != nil {
		tier.t.Fatal(err)
	}
	p := &testProcess{cmd: exec.Command(filepath.Join(tier.bin, program), args...), log: log.Name(), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	r := startRequest{cmd: p.cmd, done: make(chan error)}
	tier.start <- r
	err = <-r.done
	_ = log.Close()
	if err != nil {
		tier.t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait() // callers read the exit status from ProcessState
		close(p.done)
	}()
	tier.t.Cleanup(func() { tier.end(p, args) })
	return p
}

func (tier *testTier) end(p *testProcess, args []string) {
	_ = p.cmd.Process.Kill()
	<-p.done
	if text, err := os.ReadFile(p.log); tier.t.Failed() && err == nil && len(text) > 0 {
		tier.t.Logf("%v:\n%s", args, text)
	}
}

// command runs the pistachioshore command to completion and returns its output and exit status.
func (tier *testTier) command(args ...string) (stdout, stderr string, status int) {
	tier.t.Helper()
	var out, errs bytes.Buffer
	cmd := exec.Command(filepath.Join(tier.bin, "pistachioshore"), args...)
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Run(); err != nil && cmd.ProcessState == nil {
		tier.t.Fatal(err)
	}
	return out.String(), errs.String(), cmd.ProcessState.ExitCode()
}

func (tier *testTier) at(place int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), tier.base+uint16(place))
}

func (tier *testTier) config(opts ...sample.Option) []byte {
	tier.t.Helper()
	cfg, _ := sample.Config("armor", tier.base, opts...)
	text, err := sample.YAML(cfg)
	if err != nil {
		tier.t.Fatal(err)
	}
	return text
}

func (tier *testTier) writeFile(name string, text []byte) string {
	tier.t.Helper()
	path := filepath.Join(tier.bin, name)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		tier.t.Fatal(err)
	}
	return path
}

// publish publishes a configuration on the platform.
func (tier *testTier) publish(text []byte) {
	tier.t.Helper()
	tier.put("http://"+tier.at(platformPort).String()+"/v1/config", text)
}

// setFaults sets the faults of the selected upstreams. It skips zones without a matching upstream.
func (tier *testTier) setFaults(selection, faults string) {
	tier.t.Helper()
	for i := range testZones {
		url := "http://" + tier.at(controlPort+i).String() + "/v1/starts?" + selection
		if resp, err := testHTTP.Get(url); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				continue
			}
		}
		tier.put("http://"+tier.at(controlPort+i).String()+"/v1/faults?"+selection, []byte(faults))
	}
}

func (tier *testTier) put(url string, body []byte) {
	tier.t.Helper()
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		tier.t.Fatal(err)
	}
	resp, err := testHTTP.Do(req)
	if err != nil {
		tier.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(resp.Body)
		tier.t.Fatalf("PUT %s: %s %s", url, resp.Status, text)
	}
}

// counts returns the counters of all upstreams in a zone.
func (tier *testTier) counts(zone int) []wire.UpstreamCounts {
	tier.t.Helper()
	resp, err := testHTTP.Get("http://" + tier.at(controlPort+zone).String() + "/v1/starts")
	if err != nil {
		tier.t.Fatal(err)
	}
	list, err := read[wire.UpstreamCountsList](resp)
	if err != nil {
		tier.t.Fatal(err)
	}
	return list.Items
}

// status returns the status of a VM, as printed by the status command.
func (tier *testTier) status(e *testEntry) (wire.Status, bool) {
	var s wire.Status
	out, _, status := tier.command("status", "--entry", e.address.String(), "--report", "json")
	return s, status == 0 && json.Unmarshal([]byte(out), &s) == nil
}

func (tier *testTier) waitReady(entries ...*testEntry) {
	tier.t.Helper()
	for _, e := range entries {
		waitUntil(tier.t, "readiness of "+e.address.String(), func() bool { return ready(e) == http.StatusNoContent })
	}
}

// ready returns the HTTP status of a VM's readiness endpoint, or 0 if the VM does not respond.
func ready(e *testEntry) int { return get(e.address, "/ready") }

// get returns the HTTP status of a GET request, or 0 if it fails.
func get(address netip.AddrPort, path string) int {
	resp, err := testHTTP.Get("http://" + address.String() + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// waitUntil polls a condition every 20 ms and fails the test if it is not met within waitBound.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.After(waitBound)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-deadline:
			t.Fatalf("waiting for %s: timed out after %s", what, waitBound)
		}
	}
}
