package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's key-value store, with the read calls that a VM makes.
type Store struct {
	Address string

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{} // closed and replaced at each change
	// loseNextWatch holds prefixes; the next answer to a waiting watch of such a prefix is lost.
	loseNextWatch map[string]int
	lost          int // answers that were lost
	answered      int // answers that were sent
	record        *Record
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"createdAt,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// NewStore starts a store on a free loopback port.
func NewStore(r *Record) *Store {
	s := &Store{revision: 10, items: map[string]storeItem{}, changed: make(chan struct{}), loseNextWatch: map[string]int{}, record: r}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	unable(err)
	s.Address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/kv-range", s.serveRange)
	mux.HandleFunc("/v1/kv-watch", s.serveWatch)
	go http.Serve(l, mux)
	return s
}

// Put writes an item and returns the time at which the write is acknowledged.
func (s *Store) Put(key string, value any) time.Time {
	b, err := json.Marshal(value)
	unable(err)
	return s.PutRaw(key, b)
}

// PutRaw writes an item with the bytes of another writer and returns the time at which the write is acknowledged.
func (s *Store) PutRaw(key string, b []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := storeItem{Key: key, Value: b, Revision: s.revision, Created: created}
	s.items[key] = it
	s.change(it)
	return time.Now()
}

// Delete removes an item and returns the time at which this is acknowledged.
func (s *Store) Delete(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.change(storeItem{Key: key, Revision: s.revision, Deleted: true})
	return time.Now()
}

func (s *Store) change(it storeItem) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// LoseNextWatch makes the store lose the next n answers with events to watches of a prefix.
func (s *Store) LoseNextWatch(prefix string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNextWatch[prefix] = n
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []storeItem{}
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			items = append(items, it)
		}
	}
	revision := s.revision
	s.answered++
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	time.Sleep(storeLatency)
	writeJSON(w, map[string]any{"items": items, "hasMore": false, "currentRev": revision})
}

// storeLatency is the time that the store takes to answer.
const storeLatency = 4 * time.Millisecond

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		changed, revision := s.changed, s.revision
		lose := len(events) > 0 && s.loseNextWatch[prefix] > 0
		if lose {
			s.loseNextWatch[prefix]--
			s.lost++
		} else {
			s.answered++
		}
		s.mu.Unlock()
		if lose {
			s.record.Line("store loses its answer to the watch of %s after %d, %d events", prefix, after, len(events))
			<-r.Context().Done() // the connection returns nothing further
			s.record.Line("store: the connection with the lost answer was closed")
			return
		}
		if len(events) > 0 {
			time.Sleep(storeLatency)
			writeJSON(w, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			writeJSON(w, map[string]any{"events": events, "currentRev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
