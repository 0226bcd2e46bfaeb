package matrix

import (
	"net/netip"
	"sync"
	"time"

	"pistachioshore.dev/entry/vm"
)

// holdTime bounds how long a worker is held at a step until the fault has begun.
const holdTime = 100 * time.Millisecond

// hit is a request that has reached the step that a trap waits for.
type hit struct {
	vm      netip.AddrPort
	request string
}

// trap holds the first request that reaches a step until a fault has begun.
type trap struct {
	mu    sync.Mutex
	step  vm.Step // zero if the trap is not armed
	hits  chan hit
	begun chan struct{}
}

func newTrap() *trap {
	return &trap{hits: make(chan hit, 1)}
}

// arm makes the trap wait for the next request at a step.
func (t *trap) arm(step vm.Step) <-chan hit {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.step, t.hits, t.begun = step, make(chan hit, 1), make(chan struct{})
	return t.hits
}

// release lets the held worker go on and disarms the trap.
func (t *trap) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.step = 0
	if t.begun != nil {
		close(t.begun)
		t.begun = nil
	}
}

// spring reports the request if the trap waits for its step.
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

// at returns the watcher of one VM; told, unless nil, learns of a hit before the worker is held.
func (t *trap) at(address netip.AddrPort, told func(h hit)) vm.StepObserver {
	return watcher{t, address, told}
}

type watcher struct {
	trap    *trap
	address netip.AddrPort
	told    func(h hit)
}

// ObserveStep holds the worker if the trap waits for the step.
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
