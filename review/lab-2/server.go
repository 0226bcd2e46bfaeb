package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a sound stand-in for a server: it keeps to the instance that a request expects, signs and echoes.
type server struct {
	lab      *lab
	id       string
	service  string
	zone     string
	address  string
	born     int64
	capacity int
	work     time.Duration

	mu       sync.Mutex
	runs     []run
	running  int
	warmLeft time.Duration
	body     func(id string) []byte // of an answer
	crashes  int                    // requests in a second that make the server crash while it is cold; 0 for never
	crashed  bool
	http     *http.Server
}

// run is a request that the server began to run.
type run struct {
	id string
	at time.Time
}

// addServer starts a server, which the store does not list yet.
func (l *lab) addServer(service, zone string, n, capacity int, work time.Duration) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		lab: l, id: fmt.Sprintf("i-%s-%s-%d", service, zone, n), service: service, zone: zone, address: listener.Addr().String(),
		born: time.Now().UnixMilli(), capacity: capacity, work: work,
	}
	s.body = func(id string) []byte { return []byte(fmt.Sprintf("%-16.16s", s.id+id)) }
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }() // ends with the process or the crash
	return s, nil
}

// register writes the server's entry.
func (s *server) register(state string) time.Time {
	s.mu.Lock()
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "capacity": s.capacity, "state": state,
		"warmupLeftMs": s.warmLeft.Milliseconds(), "sequence": 1, "born": s.born,
	}
	s.mu.Unlock()
	b, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	return s.lab.store.put("servers/"+s.id, b)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := r.Header.Get("X-Pistachioshore-Request-Id")
	h := w.Header()
	h.Set("X-Pistachioshore-Instance-Id", s.id)
	if r.URL.Path == "/health" {
		s.mu.Lock()
		h.Set("X-Pistachioshore-Warmup-Ms", strconv.FormatInt(s.warmLeft.Milliseconds(), 10))
		s.mu.Unlock()
		return
	}
	h.Set("X-Pistachioshore-Request-Id", id)
	if expect := r.Header.Get("X-Pistachioshore-Expect-Instance"); expect != "" && expect != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{id, arrived})
	s.running++
	running := s.running
	crash := s.warmLeft > 0 && s.crashes > 0 && !s.crashed && s.recent(arrived) > s.crashes
	s.crashed = s.crashed || crash
	s.mu.Unlock()
	s.lab.logf("server %s: runs %s %s %s", s.id, r.Method, r.URL.Path, id)
	if crash {
		s.lab.logf("server %s: crashes, with %d requests at work", s.id, running)
		_ = s.http.Close()
		return
	}
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	body := s.body(id)
	h.Set("X-Pistachioshore-Response-Stamp", s.id+"."+id)
	h.Set("X-Pistachioshore-Server-Load", fmt.Sprintf("%d,%d,%d", min(running, s.capacity), max(running-s.capacity, 0), s.capacity))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // fails only if the caller has gone
}

// recent returns the number of requests that began to run in the second before now.
func (s *server) recent(now time.Time) int {
	n := 0
	for _, r := range s.runs {
		if now.Sub(r.at) < time.Second {
			n++
		}
	}
	return n
}
