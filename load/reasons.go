package load

import (
	"sync"

	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// reasons keeps why the answers lack shards, by request.
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

// count adds the reasons of a request to n.
func (r *reasons) count(request string, n map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, reason := range r.byRequest[request] {
		n[reason]++
	}
}
