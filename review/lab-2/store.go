package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyTime is the time for which the store keeps its history.
const historyTime = 20 * time.Second

// pageSize is the most items of one page. The platform's pages hold about 500 items.
const pageSize = 500

// storeItem is an item as it was written, or a deletion.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"createdAt,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Deleted   bool   `json:"deleted,omitempty"`
}

// store is a sound stand-in for the platform's store: linearizable, with the whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
	dropped  uint64        // revision up to which the history has been dropped
	past     []snapshot    // after each change
	staleAge time.Duration // of reads that may be old

	// loses decides whether the answer to a watch that has events is lost. Its connection then returns nothing further.
	loses func(prefix, caller string) bool
}

// snapshot is the state since a time.
type snapshot struct {
	at       time.Time
	revision uint64
	items    map[string]storeItem
}

func newStore() *store {
	return &store{revision: 100, items: map[string]storeItem{}, changed: make(chan struct{})}
}

// put writes a value. Its return is the ack.
func (s *store) put(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := storeItem{Key: key, Value: value, Revision: s.revision, CreatedAt: s.revision}
	if old, ok := s.items[key]; ok {
		it.CreatedAt = old.CreatedAt
	}
	s.items[key] = it
	s.notify(it)
	return time.Now()
}

// remove deletes a key. Its return is the ack.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.notify(storeItem{Key: key, Revision: s.revision, Deleted: true})
	return time.Now()
}

func (s *store) notify(it storeItem) {
	s.history = append(s.history, it)
	s.past = append(s.past, snapshot{time.Now(), s.revision, maps.Clone(s.items)})
	close(s.changed)
	s.changed = make(chan struct{})
}

// dropHistory drops the history that is older than historyTime, and the states that no read asks for any more.
func (s *store) dropHistory() {
	for len(s.history) > 0 && time.Since(s.changedAt(s.history[0].Revision)) > historyTime {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
}

// changedAt returns the time of a change.
func (s *store) changedAt(revision uint64) time.Time {
	i := slices.IndexFunc(s.past, func(p snapshot) bool { return p.revision == revision })
	return s.past[i].at
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/kv-key":
		s.mu.Lock()
		it, ok := s.items[r.URL.Query().Get("key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, it)
	case "/v1/kv-range":
		s.list(w, r)
	case "/v1/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	page := struct {
		Items    []storeItem `json:"items"`
		More     bool        `json:"hasMore"`
		Revision uint64      `json:"currentRev"`
	}{Items: []storeItem{}}
	s.mu.Lock()
	now := s.read(r.URL.Query().Get("staleOk") == "1")
	var keys []string
	for k := range now.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	if len(keys) > pageSize {
		keys, page.More = keys[:pageSize], true
	}
	for _, k := range keys {
		page.Items = append(page.Items, now.items[k])
	}
	page.Revision = now.revision
	s.mu.Unlock()
	writeJSON(w, page)
}

// read returns the present state, or that of staleAge ago if the caller takes it.
func (s *store) read(stale bool) snapshot {
	now := snapshot{time.Now(), s.revision, s.items}
	if !stale {
		return now
	}
	for _, p := range slices.Backward(s.past) {
		if time.Since(p.at) >= s.staleAge {
			return p
		}
	}
	return now
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		resp := struct {
			Events   []storeItem `json:"events"`
			Revision uint64      `json:"currentRev"`
		}{Events: []storeItem{}}
		s.mu.Lock()
		s.dropHistory()
		if after < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				resp.Events = append(resp.Events, it)
			}
		}
		resp.Revision = s.revision
		changed := s.changed
		s.mu.Unlock()
		if len(resp.Events) > 0 {
			if s.loses != nil && s.loses(q.Get("prefix"), r.RemoteAddr) {
				<-r.Context().Done()
				return
			}
			writeJSON(w, resp)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, resp)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b) // fails only if the caller has gone
}
