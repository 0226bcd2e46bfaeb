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

// reportPollInterval is the interval between reads of the load reports. VMs that poll load reports would use a similar
// interval.
const reportPollInterval = 100 * time.Millisecond

// loadReports holds the load that each upstream last reported, which may be wrong. The reports are read within the
// process, so that reading them occupies no connection of an upstream.
type loadReports struct {
	mu     sync.Mutex
	latest map[string]int
}

func newLoadReports() *loadReports {
	return &loadReports{latest: map[string]int{}}
}

// reportedLoad returns the load that an upstream last reported, or 0 if it has not reported any.
func (r *loadReports) reportedLoad(server string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest[server]
}

func (r *loadReports) poll(ctx context.Context, set *upstream.Set) {
	tick := time.NewTicker(reportPollInterval)
	defer tick.Stop()
	for {
		for _, u := range set.All() {
			r.readReport(u)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (r *loadReports) readReport(u *upstream.Upstream) {
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
