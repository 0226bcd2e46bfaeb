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

// Looks of the load balancer at a VM in another process.
const (
	lookEvery   = 50 * time.Millisecond
	lookTime    = 300 * time.Millisecond
	statusBytes = 1 << 20
)

// child is a VM in a process of its own, which can be paused.
type child struct {
	place   tier.RunnerSettings
	command []string
	client  *http.Client
	hits    chan hit

	cmd      *exec.Cmd
	mu       sync.Mutex // guards in
	in       io.WriteCloser
	ready    atomic.Bool
	revision atomic.Uint64
	done     chan struct{}
	work     sync.WaitGroup
}

var _ tier.Runner = (*child)(nil)

func newChildRunner(p tier.RunnerSettings, command []string) *child {
	return &child{
		place: p, command: command, hits: make(chan hit, 16), done: make(chan struct{}),
		client: &http.Client{Timeout: lookTime, Transport: &http.Transport{}},
	}
}

// Start starts the process and passes it the open listener.
func (c *child) Start(context.Context) error {
	f, err := c.place.Listener.(*net.TCPListener).File()
	if err != nil {
		return errors.Wrap(err, "pass the listener on")
	}
	defer func() { _ = f.Close() }()
	defer func() { _ = c.place.Listener.Close() }()
	c.cmd = exec.Command(c.command[0], c.command[1:]...)
	c.cmd.ExtraFiles = []*os.File{f}
	c.cmd.Stderr = os.Stderr
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if c.in, err = c.cmd.StdinPipe(); err != nil {
		return errors.Wrap(err, "open the input of the VM")
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return errors.Wrap(err, "open the output of the VM")
	}
	if err := c.cmd.Start(); err != nil {
		return errors.Wrap(err, "start the process of the VM")
	}
	c.work.Go(func() { c.listen(out) })
	c.work.Go(c.look)
	return json.NewEncoder(c.in).Encode(childSettings{Address: c.place.Address, Zone: c.place.Zone, Platform: c.place.PlatformAddress})
}

// Stop shuts the VM down gracefully and waits for the end of its process.
func (c *child) Stop(context.Context) error {
	c.tell("stop")
	err := c.wait()
	return errors.Wrap(err, "stop the process of the VM")
}

// Kill ends the process at once.
func (c *child) Kill() {
	_ = c.cmd.Process.Kill()
	_ = c.wait() // says only that it was killed
}

func (c *child) wait() error {
	close(c.done)
	c.work.Wait()
	return c.cmd.Wait()
}

// Ready reports whether the VM answered that it is ready when the load balancer last looked.
func (c *child) Ready() bool {
	return c.ready.Load()
}

// Revision returns the revision that the VM showed last.
func (c *child) Revision() uint64 {
	return c.revision.Load()
}

// Pause stops the process until Resume.
func (c *child) Pause() error {
	return errors.Wrap(c.cmd.Process.Signal(syscall.SIGSTOP), "pause the VM")
}

// Resume lets a paused process go on.
func (c *child) Resume() error {
	return errors.Wrap(c.cmd.Process.Signal(syscall.SIGCONT), "resume the VM")
}

// arm has the VM report the next request that reaches a step.
func (c *child) arm(step vm.Step) <-chan hit {
	for len(c.hits) > 0 {
		<-c.hits
	}
	c.tell("arm " + step.String())
	return c.hits
}

func (c *child) release() {
	c.tell("release")
}

func (c *child) tell(line string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintln(c.in, line) // fails only if the process has ended
}

func (c *child) listen(out io.Reader) {
	for lines := bufio.NewScanner(out); lines.Scan(); {
		select {
		case c.hits <- hit{c.place.Address, lines.Text()}:
		default:
		}
	}
}

// look asks the VM for its status and readiness until the end.
func (c *child) look() {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-t.C:
		}
		status, ok := c.status()
		c.ready.Store(ok && status.Ready)
		if ok {
			c.revision.Store(status.Revision)
		}
	}
}

func (c *child) status() (wire.Status, bool) {
	resp, err := c.client.Get("http://" + c.place.Address.String() + "/v1/status")
	if err != nil {
		return wire.Status{}, false
	}
	defer func() { _ = resp.Body.Close() }()
	s, err := codec.DecodeJSON[wire.Status](resp.Body, statusBytes)
	return s, err == nil
}
