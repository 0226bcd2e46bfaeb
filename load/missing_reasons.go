package load

import (
	"sync"

	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// missingReasons records by request ID why shards are missing from answers. It is safe for concurrent use.
type missingReasons struct {
	mu        sync.Mutex
	byRequest map[string][]string
}

func newMissingReasons() *missingReasons {
	return &missingReasons{byRequest: map[string][]string{}}
}

func (r *missingReasons) add(a wire.QueryAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range a.Coverage.Missing {
		r.byRequest[a.RequestID] = append(r.byRequest[a.RequestID], result.Code(m.Code).String())
	}
}

// addTo adds the reasons of a request to counts, which is keyed by reason.
func (r *missingReasons) addTo(requestID string, counts map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, reason := range r.byRequest[requestID] {
		counts[reason]++
	}
}
