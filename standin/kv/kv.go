// Package kv implements a stand-in for the platform's key-value store. It holds items with revisions, which
// clients list and watch by prefix.
package kv

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"pistachioshore.dev/pool"
	"pistachioshore.dev/standin"
	"pistachioshore.dev/table"
)

// pageSize is the number of items on a page. It is smaller than the platform's, so that the few items of a
// test fill several pages.
const pageSize = 3

// watchPath is the path of a watch.
const watchPath = "/v1/kv-watch"

// eraHeader is the header that states the era. The store raises it by one when it comes back from an older copy.
const eraHeader = "Store-Era"

// maxWatchWait is the longest time that a watch may wait.
const maxWatchWait = 30 * time.Second

// Fault is how the store fails.
type Fault string

// Faults of the store.
const (
	NoFault          Fault = ""       // answers every call
	Unavailable      Fault = "busy"   // answers every call with 503
	TooManyRequests  Fault = "many"   // answers every call with 429
	ResetConnections Fault = "reset"  // closes connections without a response
	HangAllCalls     Fault = "silent" // closes open watches and never answers the calls that begin during the fault

	// HangNewCalls never answers the calls that begin during the fault; open watches continue.
	HangNewCalls Fault = "swallow"
)

// event is a written item or the deletion of a key.
type event struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"createdAt,omitempty"`
	Deleted   bool   `json:"deleted,omitempty"`
}

// Store serves the read calls of the platform's store; it is safe for concurrent use.
type Store struct {
	mux   *http.ServeMux
	state *table.Guarded[state]
}

// Copy is the state of a store at one moment.
type Copy struct {
	revision uint64
	items    map[string]event
}

type state struct {
	revision          uint64
	era               uint64 // stated in all responses; 0 if they state none
	items             map[string]event
	history           []event
	compactedRevision uint64 // the history up to this revision is dropped
	fault             Fault
	restorations      int
	lostPrefix        string // the next response with events under this prefix is lost; empty for none
	callCount         int
	changed           chan struct{} // closed and replaced at each change
}

// New returns an empty store.
func New() *Store {
	s := &Store{mux: http.NewServeMux()}
	s.state = table.NewGuarded(standin.RankPlatform, state{items: map[string]event{}, changed: make(chan struct{})})
	s.mux.HandleFunc("GET /v1/kv-range", s.list)
	s.mux.HandleFunc("GET "+watchPath, s.watch)
	return s
}

// ServeHTTP implements [http.Handler].
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	s.state.With(func(st *state) {
		st.callCount++
		fault = st.fault
		st.writeEra(w)
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

// Put writes a value and returns its revision, which is 1 for the first change of the store and increases by 1 with
// each change.
func (s *Store) Put(key string, value []byte) uint64 {
	return table.WithResult(s.state, func(st *state) uint64 {
		st.revision++
		e := event{Key: key, Value: value, Revision: st.revision, CreatedAt: st.revision}
		if old, ok := st.items[key]; ok {
			e.CreatedAt = old.CreatedAt
		}
		st.items[key] = e
		st.appendEvent(e)
		return st.revision
	})
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.state.With(func(st *state) {
		st.revision++
		delete(st.items, key)
		st.appendEvent(event{Key: key, Revision: st.revision, Deleted: true})
	})
}

// DeleteAndCompact removes a key and drops the history, so that watchers may miss the deletion, as after
// an outage of the store.
func (s *Store) DeleteAndCompact(key string) {
	s.Delete(key)
	s.Compact()
}

// Compact drops the history; a watch from an older revision gets 410.
func (s *Store) Compact() {
	s.state.With(func(st *state) {
		st.history = nil
		st.compactedRevision = st.revision
		st.notifyWatches()
	})
}

// SetFault replaces the fault. Open watches continue if the new fault is NoFault or HangNewCalls. Otherwise
// they fail: at once, or at their next event or timeout if the previous fault was HangNewCalls.
func (s *Store) SetFault(f Fault) {
	s.state.With(func(st *state) {
		closeWatches := f != HangNewCalls && st.fault != HangNewCalls
		st.fault = f
		if closeWatches {
			st.notifyWatches()
		}
	})
}

// StateEra makes the store state its era in all responses. A store that never does is like the platform's before it had eras.
func (s *Store) StateEra(era uint64) {
	s.state.With(func(st *state) { st.era = era })
}

// Position returns the era and the revision of the store.
func (s *Store) Position() (era, revision uint64) {
	return table.WithResults(s.state, func(st *state) (uint64, uint64) { return st.era, st.revision })
}

// TakeCopy returns a copy of the items and their revisions.
func (s *Store) TakeCopy() Copy {
	return table.WithResult(s.state, func(st *state) Copy { return Copy{st.revision, maps.Clone(st.items)} })
}

// Restore replaces the state by a copy. Later writes are lost and their revisions are issued again, the history is dropped,
// and open watches fail. The era rises by one if the store states it. The fault stays as it is.
func (s *Store) Restore(c Copy) {
	s.state.With(func(st *state) {
		st.revision, st.items = c.revision, maps.Clone(c.items)
		st.history, st.compactedRevision = nil, c.revision
		st.restorations++
		if st.era > 0 {
			st.era++
		}
		st.notifyWatches()
	})
}

// LoseResponse makes the next watch of a prefix that has events end without a response, while its connection stays open.
func (s *Store) LoseResponse(prefix string) {
	s.state.With(func(st *state) { st.lostPrefix = prefix })
}

// CallCount returns the number of calls so far.
func (s *Store) CallCount() int {
	return table.WithResult(s.state, func(st *state) int { return st.callCount })
}

// writeEra states the era in a response.
func (st *state) writeEra(w http.ResponseWriter) {
	if st.era > 0 {
		w.Header().Set(eraHeader, strconv.FormatUint(st.era, 10))
	}
}

func (st *state) appendEvent(e event) {
	st.history = append(st.history, e)
	st.notifyWatches()
}

func (st *state) notifyWatches() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// list returns one page of the items under a prefix.
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
		page.More = len(keys) > pageSize
		for _, key := range keys[:min(len(keys), pageSize)] {
			page.Items = append(page.Items, st.items[key])
		}
		page.Revision = st.revision
		st.writeEra(w)
	})
	writeJSON(w, page)
}

// watch returns the events under a prefix after a revision, as soon as there is one or the wait is over.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, errAfter := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, errWait := strconv.Atoi(q.Get("waitMs"))
	if errAfter != nil || errWait != nil || ms < 0 || time.Duration(ms)*time.Millisecond > maxWatchWait {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.Now().Add(time.Duration(ms) * time.Millisecond)
	restorations := table.WithResult(s.state, func(st *state) int { return st.restorations })
	for {
		events, revision, compacted, changed, fault := s.eventsSince(w, q.Get("prefix"), after, restorations)
		switch {
		case fault != NoFault && fault != HangNewCalls:
			panic(http.ErrAbortHandler)
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 && s.losesResponse(q.Get("prefix")):
			<-r.Context().Done()
			return
		case len(events) > 0 || !time.Now().Before(end):
			writeJSON(w, struct {
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

// losesResponse reports whether the next response with events under a prefix is to be lost, which it then is.
func (s *Store) losesResponse(prefix string) bool {
	return table.WithResult(s.state, func(st *state) bool {
		lost := st.lostPrefix != "" && st.lostPrefix == prefix
		if lost {
			st.lostPrefix = ""
		}
		return lost
	})
}

// eventsSince returns the events under a prefix after a revision, whether the store lacks the history since then or the
// revision itself, and a channel that is closed at the next change. It states the era. The fault is that of a closed connection if
// the store was restored since the watch began.
func (s *Store) eventsSince(w http.ResponseWriter, prefix string, after uint64, restorations int) (events []event, revision uint64, compacted bool, changed <-chan struct{}, fault Fault) {
	s.state.With(func(st *state) {
		compacted = after < st.compactedRevision || after > st.revision
		for _, e := range st.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, changed, fault = st.revision, st.changed, st.fault
		if st.restorations != restorations {
			fault = ResetConnections
		}
		st.writeEra(w)
	})
	return events, revision, compacted, changed, fault
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only if the client closed the connection
}
