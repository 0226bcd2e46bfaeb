// Package kv is the stand-in for the store of the users' platform: items with revisions that are read by
// key or prefix and watched.
package kv

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"pistachioshore.dev/pool"
	"pistachioshore.dev/standin"
	"pistachioshore.dev/table"
)

// pageItems is the number of items on a page; the platform's pages are larger, but tests have few items.
const pageItems = 3

// mostWait is the longest time that a watch waits.
const mostWait = 30 * time.Second

// Fault is how the store treats calls.
type Fault string

// The faults.
const (
	NoFault          Fault = ""
	Unavailable      Fault = "busy"   // 503 to every call
	TooManyRequests  Fault = "many"   // 429 to every call
	ResetConnections Fault = "reset"  // connections are closed without an answer
	HangAllCalls     Fault = "silent" // calls get no answer while the fault lasts

	// HangNewCalls leaves calls that begin without an answer for good; watches that wait already go on.
	HangNewCalls Fault = "swallow"
)

// event is an item as it was written, or the deletion of a key.
type event struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"createdAt,omitempty"`
	Deleted   bool   `json:"deleted,omitempty"`
}

// Store answers the platform's read calls; it is safe for concurrent use.
type Store struct {
	mux   *http.ServeMux
	state *table.Guarded[state]
}

type state struct {
	revision uint64
	items    map[string]event
	history  []event
	dropped  uint64 // changes up to this revision are forgotten
	fault    Fault
	calls    int
	changed  chan struct{}
}

// New returns an empty store.
func New() *Store {
	s := &Store{mux: http.NewServeMux()}
	s.state = table.NewGuarded(standin.RankPlatform, state{items: map[string]event{}, changed: make(chan struct{})})
	s.mux.HandleFunc("GET /v1/kv-range", s.list)
	s.mux.HandleFunc("GET /v1/kv-watch", s.watch)
	return s
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	s.state.With(func(st *state) {
		st.calls++
		fault = st.fault
	})
	switch fault {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case TooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
	case ResetConnections:
		panic(http.ErrAbortHandler)
	case HangAllCalls, HangNewCalls:
		<-r.Context().Done()
	default:
		s.mux.ServeHTTP(w, r)
	}
}

// Put writes a value and returns its revision.
func (s *Store) Put(key string, value []byte) uint64 {
	return table.WithResult(s.state, func(st *state) uint64 {
		st.revision++
		e := event{Key: key, Value: value, Revision: st.revision, CreatedAt: st.revision}
		if old, ok := st.items[key]; ok {
			e.CreatedAt = old.CreatedAt
		}
		st.items[key] = e
		st.add(e)
		return st.revision
	})
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.state.With(func(st *state) {
		st.revision++
		delete(st.items, key)
		st.add(event{Key: key, Revision: st.revision, Deleted: true})
	})
}

// DeleteAndCompact removes a key of which the history is dropped at once, as when the store was away.
func (s *Store) DeleteAndCompact(key string) {
	s.Delete(key)
	s.Compact()
}

// Compact drops the history and cuts all watches.
func (s *Store) Compact() {
	s.state.With(func(st *state) {
		st.history = nil
		st.dropped = st.revision
		st.wake()
	})
}

// SetFault changes how calls are treated, and cuts all watches unless the store only swallows calls.
func (s *Store) SetFault(f Fault) {
	s.state.With(func(st *state) {
		cut := f != HangNewCalls && st.fault != HangNewCalls
		st.fault = f
		if cut {
			st.wake()
		}
	})
}

// CallCount returns the number of calls so far.
func (s *Store) CallCount() int {
	return table.WithResult(s.state, func(st *state) int { return st.calls })
}

func (st *state) add(e event) {
	st.history = append(st.history, e)
	st.wake()
}

func (st *state) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// list answers a range.
func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	var page struct {
		Items    []event `json:"items"`
		More     bool    `json:"hasMore"`
		Revision uint64  `json:"currentRev"`
	}
	s.state.With(func(st *state) {
		var keys []string
		for key := range st.items {
			if strings.HasPrefix(key, prefix) && key > after {
				keys = append(keys, key)
			}
		}
		slices.Sort(keys)
		page.More = len(keys) > pageItems
		for _, key := range keys[:min(len(keys), pageItems)] {
			page.Items = append(page.Items, st.items[key])
		}
		page.Revision = st.revision
	})
	answer(w, page)
}

// watch answers with the events after a revision as soon as there is one.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, errAfter := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, errWait := strconv.Atoi(q.Get("waitMs"))
	if errAfter != nil || errWait != nil || ms < 0 || time.Duration(ms)*time.Millisecond > mostWait {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.Now().Add(time.Duration(ms) * time.Millisecond)
	for {
		events, revision, gone, changed, fault := s.since(q.Get("prefix"), after)
		switch {
		case fault != NoFault && fault != HangNewCalls:
			panic(http.ErrAbortHandler)
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || !time.Now().Before(end):
			answer(w, struct {
				Events   []event `json:"events"`
				Revision uint64  `json:"currentRev"`
			}{events, revision})
			return
		}
		if !pool.WaitForChange(r.Context(), changed, time.Until(end)) {
			return
		}
	}
}

// since returns the changes under a prefix after a revision, and a channel that tells of the next one.
func (s *Store) since(prefix string, after uint64) (events []event, revision uint64, gone bool, changed <-chan struct{}, fault Fault) {
	s.state.With(func(st *state) {
		gone = after < st.dropped
		for _, e := range st.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, changed, fault = st.revision, st.changed, st.fault
	})
	return events, revision, gone, changed, fault
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the reader has left if this fails
}
