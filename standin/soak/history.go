package soak

import (
	"slices"
	"sync"
	"time"
)

// clientRequest is one request with its response, as its client saw them.
type clientRequest struct {
	id      string
	vm      *vm
	route   string
	path    string
	sentAt  time.Time
	endedAt time.Time
	status  int      // 0 for a connection that ended without a response
	stamps  []string // signatures of the shards in a sharded response
	stamp   string   // signature of another response
	shards  int      // number of shards, those missing in the response included
	body    []byte
}

// vmFault is a period in which a VM, or every VM if vm is nil, may learn of changes late.
type vmFault struct {
	span
	vm *vm
}

// span is a period of time.
type span struct {
	from, to time.Time
}

// history records what happened in a soak; it is safe for concurrent use.
type history struct {
	mu           sync.Mutex
	requests     []clientRequest
	drainedAt    map[string]time.Time // when a server's entry changed to draining, by instance ID
	evacuations  map[string][]span    // by zone
	publications []publication
	vmFaults     []vmFault // of VMs or the store
	serverFaults []span    // faults of servers or the network paths to them
	actions      []string
	violations   []string
}

// publication is the publication of a configuration with the names of its routes.
type publication struct {
	publishedAt time.Time
	routes      map[string]bool
}

func newHistory() *history {
	return &history{drainedAt: map[string]time.Time{}, evacuations: map[string][]span{}}
}

func (h *history) recordRequest(r clientRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
}

// recordAction records an action for the report.
func (h *history) recordAction(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.actions = append(h.actions, text)
}

// recordVMFault records a fault that may delay what a VM, or every VM if v is nil, learns.
func (h *history) recordVMFault(v *vm, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.vmFaults = append(h.vmFaults, vmFault{span{from, to}, v})
}

// recordServerFault records a fault of a server or the network path to it.
func (h *history) recordServerFault(from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serverFaults = append(h.serverFaults, span{from, to})
}

// recordViolation records a violation that is found during the soak.
func (h *history) recordViolation(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, text)
}

// vmHealthy reports whether the VM had no fault in the period or in the recovery time before it.
func (h *history) vmHealthy(v *vm, from, to time.Time) bool {
	for _, f := range h.vmFaults {
		if (f.vm == nil || f.vm == v) && f.overlaps(from, to) {
			return false
		}
	}
	return true
}

// serversHealthy reports whether no server had a fault in the period or in the recovery time before it.
func (h *history) serversHealthy(from, to time.Time) bool {
	return !slices.ContainsFunc(h.serverFaults, func(s span) bool { return s.overlaps(from, to) })
}

// overlaps reports whether the span, extended by the recovery time after it, overlaps a period.
func (s span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && s.to.Add(recoveryTime).After(from)
}
