// Package shard is the stand-in for a server on the users' platform: it runs requests in slots, signs its
// answers, and misbehaves as a test says. It counts each request that it starts.
package shard

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachioshore.dev/pool"
	"pistachioshore.dev/standin"
	"pistachioshore.dev/table"
)

// Behaviour is how a server treats the requests to it.
type Behaviour string

// The behaviours.
const (
	Normal           Behaviour = ""
	Shedding         Behaviour = "shed"   // refuses without running
	Failing          Behaviour = "fail"   // runs and answers 500
	DroppingResponse Behaviour = "lose"   // runs and closes the connection without an answer
	Hanging          Behaviour = "mute"   // runs and never answers
	WrongInstance    Behaviour = "other"  // another server has the address
	Unsigned         Behaviour = "unsign" // answers without its signature
)

// Execution is one request that a server began to run.
type Execution struct {
	RequestID string
	Method    string
	Target    string
	Body      string
	Header    http.Header
	StartedAt time.Time
}

// Server is one lifetime of a server.
type Server struct {
	id       string
	service  string
	zone     string
	work     time.Duration
	listener net.Listener
	http     *http.Server
	state    *table.Guarded[state]
}

type state struct {
	behaviour Behaviour
	runs      []Execution
	running   int
}

// New starts a server on loopback whose requests take work.
func New(id, service, zone string, work time.Duration) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{id: id, service: service, zone: zone, work: work, listener: l, state: table.NewGuarded(standin.RankUpstream, state{})}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }() // ends with ErrServerClosed at Close
	return s, nil
}

// Close ends the server as a crash does.
func (s *Server) Close() {
	_ = s.http.Close()
}

// ID returns the name of the server's lifetime.
func (s *Server) ID() string { return s.id }

// Service returns the service that the server belongs to.
func (s *Server) Service() string { return s.service }

// Zone returns the availability zone of the server.
func (s *Server) Zone() string { return s.zone }

// Address returns where the server listens.
func (s *Server) Address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// Key returns the key of the server's entry in the store.
func (s *Server) Key() string {
	return "servers/" + s.id
}

// Entry returns what the server writes of itself into the store.
func (s *Server) Entry(status string) []byte {
	return s.EntryWithAddress(s.Address(), status)
}

// EntryWithAddress returns the entry of a server that is reached at another address, such as that of a proxy.
func (s *Server) EntryWithAddress(address netip.AddrPort, status string) []byte {
	b, _ := json.Marshal(entry{ // strings and numbers only: it cannot fail
		Service: s.service, Address: address, Zone: s.zone, Version: "v1", Capacity: 3,
		State: status, Sequence: 1, Born: time.Now().UnixMilli(),
	})
	return b
}

// entry is what a server writes of itself.
type entry struct {
	Service      string         `json:"service"`
	Address      netip.AddrPort `json:"address"`
	Zone         string         `json:"zone"`
	Version      string         `json:"version"`
	Capacity     int            `json:"capacity"`
	State        string         `json:"state"`
	WarmupLeftMs int            `json:"warmupLeftMs"`
	Sequence     int            `json:"sequence"`
	Born         int64          `json:"born"`
}

// SetBehaviour changes how requests are treated from now on.
func (s *Server) SetBehaviour(b Behaviour) {
	s.state.With(func(st *state) { st.behaviour = b })
}

// Executions returns the requests that the server began to run.
func (s *Server) Executions() []Execution {
	return table.WithResult(s.state, func(st *state) []Execution { return append([]Execution(nil), st.runs...) })
}

// Stamp returns the signature of an answer, which a test can compare.
func Stamp(id, request string, body []byte) string {
	return fmt.Sprintf("%s.%s.%x", id, request, xxhash.Sum64(body))
}

// Record returns the record of 16 bytes that a server holds for a request target.
func Record(id, target string) []byte {
	sum := xxhash.Sum64String(id + target)
	return []byte(fmt.Sprintf("%016x", sum))
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get("X-Pistachioshore-Request-Id")
	w.Header().Set("X-Pistachioshore-Request-Id", request)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the connection has ended
	}
	b := table.WithResult(s.state, func(st *state) Behaviour { return st.behaviour })
	expect := r.Header.Get("X-Pistachioshore-Expect-Instance")
	switch {
	case b == WrongInstance || (expect != "" && expect != s.id):
		w.Header().Set("X-Pistachioshore-Instance-Id", "i-other")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case b == Shedding:
		w.Header().Set("X-Pistachioshore-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.state.With(func(st *state) {
		st.running++
		st.runs = append(st.runs, Execution{RequestID: request, Method: r.Method, Target: r.RequestURI, Body: string(body), Header: r.Header, StartedAt: time.Now()})
	})
	defer s.state.With(func(st *state) { st.running-- })
	if !pool.Sleep(r.Context(), s.work) {
		return // the caller has left
	}
	s.answer(w, r, b, request)
}

// answer ends a request that has run.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, b Behaviour, request string) {
	record := Record(s.id, r.RequestURI)
	switch b {
	case DroppingResponse:
		panic(http.ErrAbortHandler)
	case Hanging:
		<-r.Context().Done()
		return
	case Unsigned:
	default:
		w.Header().Set("X-Pistachioshore-Response-Stamp", Stamp(s.id, request, record))
	}
	w.Header().Set("X-Pistachioshore-Server-Load", strconv.Itoa(table.WithResult(s.state, func(st *state) int { return st.running }))+",0,3")
	if b == Failing {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(record) // the caller has left if this fails
}
