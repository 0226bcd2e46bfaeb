package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"pistachioshore.dev/standin/upstream"
	"pistachioshore.dev/wire"
)

// readEvery is how often the load reports are read; VMs that polled them would do so about as often.
const readEvery = 100 * time.Millisecond

// reports holds what the upstreams last reported of their load, wrong figures included. They are read
// inside the process, so that they take no connection of an upstream.
type reports struct {
	mu     sync.Mutex
	latest map[string]int
}

func newReports() *reports {
	return &reports{latest: map[string]int{}}
}

// of returns the reported load of an upstream, 0 if it has not reported.
func (r *reports) of(server string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest[server]
}

func (r *reports) watch(ctx context.Context, set *upstream.Set) {
	tick := time.NewTicker(readEvery)
	defer tick.Stop()
	for {
		for _, u := range set.All() {
			r.read(u)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (r *reports) read(u *upstream.Upstream) {
	w := httptest.NewRecorder()
	u.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/load", nil))
	var l wire.Load
	if json.NewDecoder(w.Body).Decode(&l) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latest[u.Name()] = l.Running + l.Queued
}
