// Package upstream is the stand-in for one upstream: a replica that searches its shards.
package upstream

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/record"
	"pistachioshore.dev/wire"
)

// Loader returns the records of a shard in a snapshot; false means that the shard is unknown.
type Loader func(shard string, snapshot uint64) ([]record.Record, bool)

// Settings describe one upstream.
type Settings struct {
	Name        string
	Incarnation string
	Slots       int
	ServiceTime time.Duration
}

// Upstream answers searches and executions, and counts each start.
type Upstream struct {
	settings Settings
	load     Loader
	mux      *http.ServeMux
	slots    chan struct{}

	mu     sync.Mutex
	starts map[start]int
}

type start struct {
	request string
	attempt int
}

// New returns an upstream.
func New(s Settings, load Loader) *Upstream {
	u := &Upstream{settings: s, load: load, mux: http.NewServeMux(), slots: make(chan struct{}, s.Slots), starts: map[start]int{}}
	u.mux.HandleFunc("POST /v1/search", u.search)
	u.mux.HandleFunc("POST /v1/execute", u.execute)
	u.mux.HandleFunc("GET /v1/starts", u.listStarts)
	return u
}

// ServeHTTP answers one request.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Incarnation", u.settings.Incarnation)
	u.mux.ServeHTTP(w, r)
}

// run waits for a slot and runs work unless the deadline has passed before the start.
func (u *Upstream) run(w http.ResponseWriter, r *http.Request, work func()) {
	deadline, err := time.Parse(time.RFC3339Nano, r.Header.Get("Deadline"))
	if err != nil {
		http.Error(w, "the Deadline header is not a time", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-timer.C:
		w.WriteHeader(http.StatusRequestTimeout)
		return
	case <-r.Context().Done():
		return
	}
	if !time.Now().Before(deadline) {
		w.WriteHeader(http.StatusRequestTimeout)
		return
	}
	u.countStart(r)
	service := time.NewTimer(u.settings.ServiceTime)
	defer service.Stop()
	select {
	case <-service.C:
		work()
	case <-r.Context().Done():
	}
}

func (u *Upstream) countStart(r *http.Request) {
	attempt, _ := strconv.Atoi(r.Header.Get("Attempt"))
	u.mu.Lock()
	defer u.mu.Unlock()
	u.starts[start{r.Header.Get("Request-Id"), attempt}]++
}

func (u *Upstream) search(w http.ResponseWriter, r *http.Request) {
	req, err := codec.DecodeJSON[wire.SearchRequest](r.Body, 1<<16)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	records, ok := u.load(req.Shard, req.Snapshot)
	if !ok {
		w.WriteHeader(http.StatusConflict)
		return
	}
	u.run(w, r, func() {
		selected, matched := record.Select(records, codec.FromWireFilter(&req.Filter), req.Limit)
		_ = json.NewEncoder(w).Encode(wire.SearchResponse{
			Snapshot: req.Snapshot, Records: codec.ToWireRecords(selected), Matched: matched,
		})
	})
}

func (u *Upstream) execute(w http.ResponseWriter, r *http.Request) {
	req, err := codec.DecodeJSON[wire.ExecuteRequest](r.Body, 1<<16)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.run(w, r, func() {
		_ = json.NewEncoder(w).Encode(wire.ExecuteResponse{Receipt: u.settings.Name + "/" + req.Key + "/" + r.Header.Get("Request-Id")})
	})
}

// Starts returns the counted starts.
func (u *Upstream) Starts() []wire.StartCount {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]wire.StartCount, 0, len(u.starts))
	for s, n := range u.starts {
		out = append(out, wire.StartCount{Upstream: u.settings.Name, Request: s.request, Attempt: s.attempt, Starts: n})
	}
	return out
}

func (u *Upstream) listStarts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(wire.StartCounts{Items: u.Starts()})
}
