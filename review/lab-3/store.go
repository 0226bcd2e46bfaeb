package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of items on a page of a listing.
const pageItems = 500

// item is an item of the store as it was written.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"createdAt,omitempty"`
	Lease     uint64 `json:"lease"`
}

// store is a stand-in for the platform's metadata store. It answers reads and keeps its whole history.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{} // closed and replaced with each change
}

// newStore starts a store on a free loopback port.
func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes a value.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, CreatedAt: s.revision}
	if old, ok := s.items[key]; ok {
		it.CreatedAt = old.CreatedAt
	}
	s.items[key] = it
	s.record(it)
}

func (s *store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	var page struct {
		Items    []item `json:"items"`
		More     bool   `json:"hasMore"`
		Revision uint64 `json:"currentRev"`
	}
	page.Items = []item{}
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page.More = len(keys) > pageItems
	for _, key := range keys[:min(len(keys), pageItems)] {
		page.Items = append(page.Items, s.items[key])
	}
	page.Revision = s.revision
	s.mu.Unlock()
	writeJSON(w, page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for {
		var reply struct {
			Events   []item `json:"events"`
			Revision uint64 `json:"currentRev"`
		}
		reply.Events = []item{}
		s.mu.Lock()
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				reply.Events = append(reply.Events, it)
			}
		}
		reply.Revision = s.revision
		changed := s.changed
		s.mu.Unlock()
		if len(reply.Events) > 0 {
			writeJSON(w, reply)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, reply)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has gone
}
