package matrix

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/demo/tier"
	"pistachioshore.dev/entry/vm"
	"pistachioshore.dev/wire"
)

// Polling of the status of the VM in the child process, as a load balancer does.
const (
	statusInterval = 50 * time.Millisecond
	statusTimeout  = 300 * time.Millisecond
	maxStatusBytes = 1 << 20
)

// childRunner runs a VM in a child process, which can be paused.
type childRunner struct {
	settings tier.RunnerSettings

	command []string
	client  *http.Client
	hits    chan hit

	cmd        *exec.Cmd
	mu         sync.Mutex // guards stdin
	stdin      io.WriteCloser
	ready      atomic.Bool
	revision   atomic.Uint64
	stopped    chan struct{}
	background sync.WaitGroup
}

var _ tier.Runner = (*childRunner)(nil)

func newChildRunner(p tier.RunnerSettings, command []string) *childRunner {
	return &childRunner{
		settings: p, command: command, hits: make(chan hit, 16), stopped: make(chan struct{}),
		client: &http.Client{Timeout: statusTimeout, Transport: &http.Transport{}},
	}
}

// Start starts the process and passes the open listener to it.
func (c *childRunner) Start(context.Context) error {
	f, err := c.settings.Listener.(*net.TCPListener).File()
	if err != nil {
		return errors.Wrap(err, "duplicate the listener")
	}
	defer func() { _ = f.Close() }()
	defer func() { _ = c.settings.Listener.Close() }()
	c.cmd = exec.Command(c.command[0], c.command[1:]...)
	c.cmd.ExtraFiles = []*os.File{f}
	c.cmd.Stderr = os.Stderr
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if c.stdin, err = c.cmd.StdinPipe(); err != nil {
		return errors.Wrap(err, "open the standard input of the VM process")
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return errors.Wrap(err, "open the standard output of the VM process")
	}
	if err := c.cmd.Start(); err != nil {
		return errors.Wrap(err, "start the VM process")
	}
	c.background.Go(func() { c.readHits(out) })
	c.background.Go(c.pollStatus)
	return json.NewEncoder(c.stdin).Encode(childSettings{Address: c.settings.Address, Zone: c.settings.Zone, Platform: c.settings.PlatformAddress})
}

// Stop shuts the VM down gracefully and waits until its process has exited.
func (c *childRunner) Stop(context.Context) error {
	c.sendCommand("stop")
	err := c.wait()
	return errors.Wrap(err, "stop the VM process")
}

// Kill kills the process.
func (c *childRunner) Kill() {
	_ = c.cmd.Process.Kill()
	_ = c.wait() // the error only states that the process was killed
}

func (c *childRunner) wait() error {
	close(c.stopped)
	c.background.Wait()
	return c.cmd.Wait()
}

// Ready reports whether the VM was ready at the last poll of its status.
func (c *childRunner) Ready() bool {
	return c.ready.Load()
}

// Revision returns the revision that the VM last reported.
func (c *childRunner) Revision() uint64 {
	return c.revision.Load()
}

// Pause suspends the process until Resume is called.
func (c *childRunner) Pause() error {
	return errors.Wrap(c.cmd.Process.Signal(syscall.SIGSTOP), "pause the VM process")
}

// Resume resumes a paused process.
func (c *childRunner) Resume() error {
	return errors.Wrap(c.cmd.Process.Signal(syscall.SIGCONT), "resume the VM process")
}

// arm makes the VM report the next request that reaches a step, and discards earlier reports.
func (c *childRunner) arm(step vm.Step) <-chan hit {
	for len(c.hits) > 0 {
		<-c.hits
	}
	c.sendCommand("arm " + step.String())
	return c.hits
}

func (c *childRunner) release() {
	c.sendCommand("release")
}

func (c *childRunner) sendCommand(line string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintln(c.stdin, line) // fails only if the process has exited
}

func (c *childRunner) readHits(out io.Reader) {
	for lines := bufio.NewScanner(out); lines.Scan(); {
		select {
		case c.hits <- hit{c.settings.Address, lines.Text()}:
		default:
		}
	}
}

// pollStatus polls the status and readiness of the VM until the runner stops.
func (c *childRunner) pollStatus() {
	t := time.NewTicker(statusInterval)
	defer t.Stop()
	for {
		select {
		case <-c.stopped:
			return
		case <-t.C:
		}
		status, ok := c.fetchStatus()
		c.ready.Store(ok && status.Ready)
		if ok {
			c.revision.Store(status.Revision)
		}
	}
}

func (c *childRunner) fetchStatus() (wire.Status, bool) {
	resp, err := c.client.Get("http://" + c.settings.Address.String() + "/v1/status")
	if err != nil {
		return wire.Status{}, false
	}
	defer func() { _ = resp.Body.Close() }()
	s, err := codec.DecodeJSON[wire.Status](resp.Body, maxStatusBytes)
	return s, err == nil
}
