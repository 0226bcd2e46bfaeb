package load

import (
	"sync"

	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// missingReasons records by request ID why shards are missing from answers. It is safe for concurrent use.
type reasons struct {
	mu        sync.Mutex
	byRequest map[string][]string
}

func newReasons() *reasons {
	return &reasons{byRequest: map[string][]string{}}
}

func (r *reasons) add(a wire.QueryAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range a.Coverage.Missing {
		r.byRequest[a.RequestID] = append(r.byRequest[a.RequestID], result.Code(m.Code).String())
	}
}

// addTo adds the reasons of a request to the counts by reason in n.
func (r *reasons) count(request string, n map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, reason := range r.byRequest[request] {
		n[reason]++
	}
}
