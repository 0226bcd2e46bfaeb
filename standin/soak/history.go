package soak

import (
	"slices"
	"sync"
	"time"
)

// call is one request as its client saw it.
type call struct {
	id     string
	vm     *vm
	route  string
	path   string
	sent   time.Time
	ended  time.Time
	status int // 0 for a connection that ended without an answer
	stamps []string
	stamp  string
	parts  int // shards in the answer and those it lacks
	body   []byte
}

// fault is a time in which a VM, or each of them if it is nil, may learn late.
type fault struct {
	span
	vm *vm
}

// span is a time between two moments.
type span struct {
	from, to time.Time
}

// history is what happened in a soak; it is safe for concurrent use.
type history struct {
	mu        sync.Mutex
	calls     []call
	drained   map[string]time.Time // server by id, since when it says that it leaves
	evacuate  map[string][]span    // by zone
	published []publication
	faults    []fault // that may delay what VMs learn
	harms     []span  // to servers or the ways to them
	acts      []string
	problems  []string
}

// publication is a configuration with the names of its routes.
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

// act notes what was done, for the report.
func (h *history) act(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acts = append(h.acts, text)
}

// fault notes a fault that may delay what a VM learns, or what each of them learns for nil.
func (h *history) fault(v *vm, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, fault{span{from, to}, v})
}

// harm notes a fault of a server.
func (h *history) harm(from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.harms = append(h.harms, span{from, to})
}

// problem notes a broken promise that shows at once.
func (h *history) problem(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.problems = append(h.problems, text)
}

// calm reports whether no fault at the VM lay in the span or in the contact time before it.
func (h *history) calm(v *vm, from, to time.Time) bool {
	for _, f := range h.faults {
		if (f.vm == nil || f.vm == v) && f.touches(from, to) {
			return false
		}
	}
	return true
}

// unharmed reports whether no server was harmed in the span or in the contact time before it.
func (h *history) unharmed(from, to time.Time) bool {
	return !slices.ContainsFunc(h.harms, func(s span) bool { return s.touches(from, to) })
}

// touches reports whether the span, or the contact time after it, lies in another one.
func (s span) touches(from, to time.Time) bool {
	return s.from.Before(to) && s.to.Add(contact).After(from)
}
