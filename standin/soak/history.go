package soak

import (
	"slices"
	"sync"
	"time"
)

// clientRequest is one request with its response, as its client saw them.
type call struct {
	id     string
	vm     *vm
	route  string
	path   string
	sent   time.Time
	ended  time.Time
	status int      // 0 for a connection that ended without a response
	stamps []string // signatures of the shards in a sharded response
	stamp  string   // signature of another response
	parts  int      // number of shards, those missing in the response included
	body   []byte
}

// vmFault is a period in which a VM, or every VM if vm is nil, may learn of changes late.
type fault struct {
	span
	vm *vm
}

// span is a period of time.
type span struct {
	from, to time.Time
}

// history records what happened in a soak; it is safe for concurrent use.
type history struct {
	mu        sync.Mutex
	calls     []call
	drained   map[string]time.Time // when a server's entry began to say draining, by instance ID
	evacuate  map[string][]span    // by zone
	published []publication
	faults    []fault // of VMs or the store
	harms     []span  // faults of servers or the network paths to them
	acts      []string
	problems  []string
}

// publication is the publication of a configuration with the names of its routes.
type publication struct {
	at     time.Time
	routes map[string]bool
}

func newHistory() *history {
	return &history{drained: map[string]time.Time{}, evacuate: map[string][]span{}}
}

func (h *history) call(c call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

// recordAction records an action for the report.
func (h *history) act(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acts = append(h.acts, text)
}

// recordVMFault records a fault that may delay what a VM, or every VM if v is nil, learns.
func (h *history) fault(v *vm, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, fault{span{from, to}, v})
}

// recordServerFault records a fault of a server or the network path to it.
func (h *history) harm(from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.harms = append(h.harms, span{from, to})
}

// recordViolation records a violation that is found during the soak.
func (h *history) problem(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.problems = append(h.problems, text)
}

// vmHealthy reports whether the VM had no fault in the period or in the recovery time before it.
func (h *history) calm(v *vm, from, to time.Time) bool {
	for _, f := range h.faults {
		if (f.vm == nil || f.vm == v) && f.touches(from, to) {
			return false
		}
	}
	return true
}

// serversHealthy reports whether no server had a fault in the period or in the recovery time before it.
func (h *history) unharmed(from, to time.Time) bool {
	return !slices.ContainsFunc(h.harms, func(s span) bool { return s.touches(from, to) })
}

// overlaps reports whether the span, extended by the recovery time after it, overlaps a period.
func (s span) touches(from, to time.Time) bool {
	return s.from.Before(to) && s.to.Add(contact).After(from)
}
