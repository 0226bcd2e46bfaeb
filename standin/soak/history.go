package soak

import (
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
	faults    []span // that may delay what VMs learn, at any of them
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

// fault notes a fault that may delay what VMs learn.
func (h *history) fault(from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, span{from, to})
}

// problem notes a broken promise that shows at once.
func (h *history) problem(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.problems = append(h.problems, text)
}

// calm reports whether no fault lay in the span or in the contact time before it.
func (h *history) calm(from, to time.Time) bool {
	for _, f := range h.faults {
		if f.from.Before(to) && f.to.Add(contact).After(from) {
			return false
		}
	}
	return true
}
