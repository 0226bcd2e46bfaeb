package matrix

import (
	"net/netip"
	"sync"
	"time"

	"pistachioshore.dev/entry/vm"
)

// maxHoldTime limits the time that a worker is held at a step while the fault is injected.
const maxHoldTime = 100 * time.Millisecond

// hit is a request that has reached the step of a breakpoint.
type hit struct {
	vm        netip.AddrPort
	requestID string
}

// breakpoint holds the first request that reaches a step until the fault has been injected.
type breakpoint struct {
	mu       sync.Mutex
	step     vm.Step // zero if the breakpoint is not armed
	hits     chan hit
	released chan struct{}
}

func newBreakpoint() *breakpoint {
	return &breakpoint{hits: make(chan hit, 1)}
}

// arm sets the breakpoint for the next request at a step, and returns the channel that reports this request.
func (b *breakpoint) arm(step vm.Step) <-chan hit {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.step, b.hits, b.released = step, make(chan hit, 1), make(chan struct{})
	return b.hits
}

// release releases the held worker and disarms the breakpoint.
func (b *breakpoint) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.step = 0
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// trip reports the request and disarms the breakpoint if it is armed for the step. The worker then waits until released is
// closed, but no longer than maxHoldTime.
func (b *breakpoint) trip(step vm.Step, h hit) (released <-chan struct{}, tripped bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.step == 0 || b.step != step {
		return nil, false
	}
	b.step = 0
	b.hits <- h
	return b.released, true
}

// observer returns the step observer of one VM. It calls onHit, unless nil, before it holds the worker.
func (b *breakpoint) observer(address netip.AddrPort, onHit func(h hit)) vm.StepObserver {
	return stepObserver{b, address, onHit}
}

type stepObserver struct {
	breakpoint *breakpoint
	address    netip.AddrPort
	onHit      func(h hit)
}

// ObserveStep holds the worker if the breakpoint is armed for the step.
func (o stepObserver) ObserveStep(step vm.Step, requestID string) {
	h := hit{o.address, requestID}
	released, tripped := o.breakpoint.trip(step, h)
	if !tripped {
		return
	}
	if o.onHit != nil {
		o.onHit(h)
	}
	timeout := time.NewTimer(maxHoldTime)
	defer timeout.Stop()
	select {
	case <-released:
	case <-timeout.C:
	}
}
