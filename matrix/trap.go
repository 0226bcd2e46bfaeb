package matrix

import (
	"net/netip"
	"sync"
	"time"

	"pistachioshore.dev/entry/vm"
)

// maxHoldTime limits the time that a worker is held at a step while the fault is injected.
const holdTime = 100 * time.Millisecond

// hit is a request that has reached the step of a breakpoint.
type hit struct {
	vm      netip.AddrPort
	request string
}

// breakpoint holds the first request that reaches a step until the fault has been injected.
type trap struct {
	mu    sync.Mutex
	step  vm.Step // zero if the breakpoint is not armed
	hits  chan hit
	begun chan struct{}
}

func newTrap() *trap {
	return &trap{hits: make(chan hit, 1)}
}

// arm sets the breakpoint for the next request at a step.
func (t *trap) arm(step vm.Step) <-chan hit {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.step, t.hits, t.begun = step, make(chan hit, 1), make(chan struct{})
	return t.hits
}

// release releases the held worker and disarms the breakpoint.
func (t *trap) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.step = 0
	if t.begun != nil {
		close(t.begun)
		t.begun = nil
	}
}

// trip reports the request if the breakpoint is armed for the step, and disarms it. The worker then waits for released.
func (t *trap) spring(step vm.Step, h hit) (begun <-chan struct{}, sprung bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.step == 0 || t.step != step {
		return nil, false
	}
	t.step = 0
	t.hits <- h
	return t.begun, true
}

// observer returns the step observer of one VM. It calls onHit, unless nil, before it holds the worker.
func (t *trap) at(address netip.AddrPort, told func(h hit)) vm.StepObserver {
	return watcher{t, address, told}
}

type watcher struct {
	trap    *trap
	address netip.AddrPort
	told    func(h hit)
}

// ObserveStep holds the worker if the breakpoint is armed for the step.
func (w watcher) ObserveStep(step vm.Step, request string) {
	h := hit{w.address, request}
	begun, sprung := w.trap.spring(step, h)
	if !sprung {
		return
	}
	if w.told != nil {
		w.told(h)
	}
	hold := time.NewTimer(holdTime)
	defer hold.Stop()
	select {
	case <-begun:
	case <-hold.C:
	}
}
