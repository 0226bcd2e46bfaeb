package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// lab is the small deployment of one case: a store, servers and VMs as processes.
type lab struct {
	store   *store
	dir     string // temporary folder for settings and logs
	program string
	vms     []*vm
	zones   map[string]string
	bounds  map[string]any
	start   time.Time

	port int // last one that freePort returned

	mu     sync.Mutex
	record *os.File
}

// Ports of the VMs.
const (
	firstPort  = 20_000
	lastPort   = 30_000
	portsOfRun = 125 // runs at the same time do not share ports
	portSlots  = (lastPort - firstPort) / portsOfRun
)

// newLab starts the store. The record of what was sent, answered and run is written to the given file.
func newLab(program, record string) (*lab, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-lab-")
	if err != nil {
		return nil, err
	}
	l := &lab{
		store: newStore(), dir: dir, port: firstPort + os.Getpid()%portSlots*portsOfRun, program: program, record: f, start: time.Now(),
		zones: map[string]string{"perth-north": "perth-metro", "perth-east": "perth-metro", "perth-south": "perth-metro"},
		bounds: map[string]any{
			"seedLagS": 3, "addressReuseS": 2, "contactMs": 5000, "ackMs": 8000, "catchUpS": 6, "drainMs": 5000, "graceS": 6,
			"lossSlackMs": 200, "configApplyMs": 5000, "downgradeSlackMs": 250, "maxStretchMs": 15000, "retryBudgetRatio": 0.2,
			"budgetWindowS": 10, "budgetExtraRetries": 188, "warmupOvershoot": 1.5, "warmupSlack": 5, "evacuationMs": 5000, "recoveryS": 15,
		},
	}
	return l, nil
}

// logf writes a line of the record, with the time since the start.
func (l *lab) logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line of the record and of the output.
func (l *lab) say(format string, args ...any) {
	l.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// vm is one VM, run as a process with the command of the deploy file.
type vm struct {
	lab      *lab
	name     string
	zone     string
	front    string
	ready    string
	control  string
	internal int
	store    string      // address at which the store answers this VM, if it has one of its own
	silent   atomic.Bool // the store gives this VM no answer
	conns    sync.Map    // the VM's connections to the store
	cmd      *exec.Cmd
	exited   chan struct{}
}

// freePort returns a free loopback port below those that the kernel hands out, so that no connection takes it before the VM
// listens. It returns each port once.
func (l *lab) freePort() (int, error) {
	for range 5000 {
		l.port++
		if l.port < firstPort || l.port > lastPort {
			l.port = firstPort
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", l.port))
		if err == nil {
			return l.port, listener.Close()
		}
	}
	return 0, errors.New("no free port")
}

// addVM adds a VM that is not started yet.
func (l *lab) addVM(zone string) (*vm, error) {
	v := &vm{lab: l, zone: zone, name: fmt.Sprintf("front-%s-%d", zone, len(l.vms)+1)}
	for _, a := range []*string{&v.front, &v.ready, &v.control} {
		p, err := l.freePort()
		if err != nil {
			return nil, err
		}
		*a = fmt.Sprintf("127.0.0.1:%d", p)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v.store = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(v.serveStore), ConnState: v.trackStore}
	go func() { _ = server.Serve(listener) }() // ends with the process
	if v.internal, err = l.freePort(); err != nil {
		return nil, err
	}
	l.vms = append(l.vms, v)
	return v, nil
}

// trackStore keeps the VM's connections to the store.
func (v *vm) trackStore(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		v.conns.Store(c, true)
	case http.StateClosed:
		v.conns.Delete(c)
	}
}

// cutStore closes the VM's connections to the store: idle ones, and those on which watches wait.
func (v *vm) cutStore() {
	v.conns.Range(func(c, _ any) bool {
		_ = c.(net.Conn).Close() // fails only if it is closed
		return true
	})
}

// serveStore answers the VM's calls of the store, unless the store leaves it without an answer.
func (v *vm) serveStore(w http.ResponseWriter, r *http.Request) {
	if v.silent.Load() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	v.lab.store.ServeHTTP(silencedWriter{w, v, r}, r)
}

// silencedWriter loses an answer that is due while the store leaves the VM without one.
type silencedWriter struct {
	http.ResponseWriter
	v *vm
	r *http.Request
}

// Write writes the answer.
func (w silencedWriter) Write(b []byte) (int, error) {
	if w.v.silent.Load() {
		<-w.r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(b)
}

// writeSettings writes the settings that the deploy file's template renders: all fields of the platform as JSON.
func (v *vm) writeSettings() (string, error) {
	var seeds []string
	for i, o := range v.lab.vms {
		if i < 3 {
			seeds = append(seeds, o.control)
		}
	}
	s := map[string]any{
		"nodeName": v.name, "role": "entry", "machineClass": "front", "serves": []string{"front", "control"}, "ip": "127.0.0.1",
		"zone": v.zone, "region": "perth-metro", "zones": v.lab.zones,
		"bindAddresses": map[string]string{"front": v.front, "ready": v.ready, "control": v.control},
		"internalPorts": []int{v.internal, v.internal}, "seeds": seeds, "bootstrap": true, "faultCounted": false,
		"limits":  map[string]any{"cpuShare": 0.8, "cores": 1, "memoryMb": 536, "maxFds": 8192, "linkMbps": 200.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "health", "pool", "scatter", "places", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds":         v.lab.bounds,
		"platform": map[string]any{
			"address": v.store, "form": "read", "writesPerS": 1200, "readsPerS": 6000, "historyS": 20, "valueBytes": 1048576, "minTtlMs": 1000,
		},
	}
	b, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(v.lab.dir, v.name+".json")
	return path, os.WriteFile(path, b, 0o600)
}

// startVM starts the process.
func (v *vm) startVM() error {
	path, err := v.writeSettings()
	if err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(v.lab.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(v.lab.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "PISTACHIOSHORE_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the case
	if err := cmd.Start(); err != nil {
		return err
	}
	v.cmd, v.exited = cmd, make(chan struct{})
	exited := v.exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	v.lab.logf("started VM %s in zone %s, process %d, front %s", v.name, v.zone, cmd.Process.Pid, v.front)
	return nil
}

// startAll starts all VMs and waits until they are ready.
func (l *lab) startAll(timeout time.Duration) error {
	for _, v := range l.vms {
		if err := v.startVM(); err != nil {
			return err
		}
	}
	end := time.Now().Add(timeout)
	for _, v := range l.vms {
		for !v.isReady() {
			if !v.alive() || time.Now().After(end) {
				return fmt.Errorf("VM %s is not ready after %v", v.name, timeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return l.allAlive()
}

// allAlive returns an error if a process has ended by itself.
func (l *lab) allAlive() error {
	for _, v := range l.vms {
		if !v.alive() {
			return fmt.Errorf("VM %s has ended", v.name)
		}
	}
	return nil
}

// isReady asks the VM as the platform does.
func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + v.ready + "/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (v *vm) signal(s syscall.Signal) {
	if v.cmd != nil && v.cmd.Process != nil {
		_ = v.cmd.Process.Signal(s) // fails only if the process has ended
	}
}

// alive reports whether the process runs.
func (v *vm) alive() bool {
	select {
	case <-v.exited:
		return false
	default:
		return true
	}
}

// close ends all processes and removes the temporary folder, unless LAB_KEEP is set.
func (l *lab) close() {
	for _, v := range l.vms {
		if v.cmd != nil {
			v.signal(syscall.SIGCONT)
			v.signal(syscall.SIGKILL)
			<-v.exited
		}
	}
	if os.Getenv("LAB_KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("logs are in", l.dir)
	}
	_ = l.record.Close()
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

// call sends one request on a new connection and waits for the answer, as a client that keeps to its deadline does.
func call(method, address, host, path, id string, deadline time.Duration, body io.Reader, length int64) answer {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return answer{err: err}
	}
	if length > 0 {
		req.ContentLength = length
	}
	req.Host = host
	req.Header.Set("X-Pistachioshore-Request-Id", id)
	req.Header.Set("X-Pistachioshore-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	resp, err := (&http.Client{Transport: t}).Do(req)
	if err != nil {
		return answer{err: err, took: time.Since(start)}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, b, err, time.Since(start)}
}

// mustAddr parses an address of this program's own making.
func mustAddr(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }

// config is the operator's configuration.
type config struct {
	Version  uint64         `json:"version"`
	Routes   []configRoute  `json:"routes"`
	Services []configSvc    `json:"services"`
	Limits   map[string]int `json:"limits"`
}

type configRoute struct {
	Name        string   `json:"name"`
	Host        string   `json:"host"`
	Prefix      string   `json:"prefix"`
	Type        string   `json:"type"`
	TimeoutMs   int      `json:"timeoutMs"`
	TargetMs    int      `json:"targetLatencyMs"`
	Priority    int      `json:"priority"`
	Service     string   `json:"service,omitempty"`
	Gather      []string `json:"gather,omitempty"`
	MaxAttempts int      `json:"maxAttempts"`
	TopK        int      `json:"topK,omitempty"`
	MinSuccess  float64  `json:"minSuccessRatio,omitempty"`
}

type configSvc struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"healthPath"`
	MaxConnections int     `json:"maxConnections"`
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	WarmupS        float64 `json:"warmupS"`
	WarmupPerS     float64 `json:"warmupPerS"`
}

// limits are those that `fleetbench wire` prints for the site.
func limits() map[string]int {
	return map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

// putConfig writes a configuration and returns the time of the ack.
func (l *lab) putConfig(c config) (ack time.Time, size int) {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	ack = l.store.put("op/config", b)
	l.logf("operator: configuration %d acknowledged, %d bytes, %d routes", c.Version, len(b), len(c.Routes))
	return ack, len(b)
}
