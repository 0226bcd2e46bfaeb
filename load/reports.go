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

// readInterval is the interval between reads of the load reports. VMs that poll load reports would use a similar
// interval.
const readEvery = 100 * time.Millisecond

// loadReports holds the load that each upstream last reported, which may be wrong. The reports are read within the
// process, so that reading them occupies no connection of an upstream.
type reports struct {
	mu     sync.Mutex
	latest map[string]int
}

func newReports() *reports {
	return &reports{latest: map[string]int{}}
}

// reportedLoad returns the load that an upstream last reported, or 0 if it has not reported any.
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
