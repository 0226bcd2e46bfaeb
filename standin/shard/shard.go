// Package shard implements a stand-in for a server on the platform that processes requests. It executes and
// records them, signs its responses, and fails in the ways that a test chooses.
package shard

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachioshore.dev/pool"
	"pistachioshore.dev/standin"
	"pistachioshore.dev/table"
)

// Behaviour is how a server treats requests.
type Behaviour string

// Behaviours of a server.
const (
	Normal           Behaviour = ""                // executes the request and sends a signed response
	Shedding         Behaviour = "shed"            // answers 503 without executing the request
	Failing          Behaviour = "fail"            // executes the request and answers 500
	DroppingResponse Behaviour = "lose"            // executes the request and closes the connection without a response
	Hanging          Behaviour = "mute"            // executes the request and never responds
	WrongInstance    Behaviour = "other"           // answers 421, as another server that took over the address
	Unsigned         Behaviour = "unsign"          // responds without a signature
	Leaving          Behaviour = "leave"           // executes the request and says that it is about to leave
	Resting          Behaviour = "rest"            // answers 503 without executing the request and asks for no more for a while
	EndlessHead      Behaviour = "endless-head"    // executes the request and sends a header that does not end
	EndlessBody      Behaviour = "endless-body"    // executes the request and sends a body that does not end
	LateCopy         Behaviour = "copy"            // responds, and sends a copy of the response a little later
	Duplicating      Behaviour = "duplicate"       // responds, and sends a copy where the next response on the connection is expected
	DuplicatingNoID  Behaviour = "duplicate-no-id" // the same, and no response echoes the request's ID
	Limiting         Behaviour = "limit"           // responds, and names RequestLimit
	Large            Behaviour = "large"           // responds with a body of LargeBytes
	Crashing         Behaviour = "crash"           // stops for good when it begins to execute a request for a CrashingTarget
)

// RequestLimit is the number of requests a second, of all VMs together, that a server with the behaviour Limiting names.
const RequestLimit = 4

// LargeBytes is the size of the body that a server with the behaviour Large sends.
const LargeBytes = 200 << 10

// CrashingTarget is the part of a request target that makes a server with the behaviour Crashing stop.
const CrashingTarget = "crashing"

// RestTime is the time for which a server with the behaviour Resting asks for no requests.
const RestTime = 1500 * time.Millisecond

// Execution is one request that a server began to execute.
type Execution struct {
	RequestID string // empty if the request has none, as a health check
	Method    string
	Target    string // path and query, as on the request line
	Body      string
	Header    http.Header
	StartedAt time.Time
}

// Server is one instance of a server; a restarted server is a new instance.
type Server struct {
	id          string
	service     string
	zone        string
	serviceTime time.Duration
	startedAt   time.Time
	listener    net.Listener
	http        *http.Server
	onCrash     func() // may be nil
	state       *table.Guarded[state]
}

type state struct {
	behaviour  Behaviour
	executions []Execution
	running    int
}

// New starts a server on a free loopback port; each request takes serviceTime.
func New(id, service, zone string, serviceTime time.Duration) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{id: id, service: service, zone: zone, serviceTime: serviceTime, startedAt: time.Now(), listener: l, state: table.NewGuarded(standin.RankUpstream, state{})}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }() // returns ErrServerClosed on Close
	return s, nil
}

// Close stops the server at once, as a crash does.
func (s *Server) Close() {
	_ = s.http.Close()
}

// OnCrash sets the function to call when the server stops because of its behaviour Crashing. It must be called before the
// server is registered.
func (s *Server) OnCrash(notify func()) { s.onCrash = notify }

// ID returns the server's instance ID.
func (s *Server) ID() string { return s.id }

// Service returns the service that the server belongs to.
func (s *Server) Service() string { return s.service }

// Zone returns the availability zone of the server.
func (s *Server) Zone() string { return s.zone }

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// Key returns the key of the server's entry in the store.
func (s *Server) Key() string {
	return "servers/" + s.id
}

// Entry returns the value that the server writes under its key in the store, with the given state, such as
// "ready" or "draining".
func (s *Server) Entry(status string) []byte {
	return s.EntryWithAddress(s.Address(), status)
}

// EntryWithAddress returns the entry of a server that is reached at another address, such as that of a proxy;
// status is the same as for Entry.
func (s *Server) EntryWithAddress(address netip.AddrPort, status string) []byte {
	b, _ := json.Marshal(storeEntry{ // cannot fail: the entry has only strings and numbers
		Service: s.service, Address: address, Zone: s.zone, Version: "v1", Capacity: 3,
		State: status, Sequence: 1, Born: s.startedAt.UnixMilli(),
	})
	return b
}

// storeEntry is the JSON value of a server's entry in the store.
type storeEntry struct {
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

// SetBehaviour changes how later requests are treated.
func (s *Server) SetBehaviour(b Behaviour) {
	s.state.With(func(st *state) { st.behaviour = b })
}

func (s *Server) currentBehaviour() Behaviour {
	return table.WithResult(s.state, func(st *state) Behaviour { return st.behaviour })
}

// Executions returns the requests that the server began to execute.
func (s *Server) Executions() []Execution {
	return table.WithResult(s.state, func(st *state) []Execution { return append([]Execution(nil), st.executions...) })
}

// Stamp returns the signature with which the server with the given ID sends a response body, so that a test can
// tell which server sent it and for which request.
func Stamp(id, requestID string, body []byte) string {
	return fmt.Sprintf("%s.%s.%x", id, requestID, xxhash.Sum64(body))
}

// Record returns the 16-byte record that the server with the given ID returns for a request target.
func Record(id, target string) []byte {
	sum := xxhash.Sum64String(id + target)
	return []byte(fmt.Sprintf("%016x", sum))
}

// ServeHTTP implements [http.Handler].
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	requestID := r.Header.Get("X-Pistachioshore-Request-Id")
	w.Header().Set("X-Pistachioshore-Request-Id", requestID)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the connection was closed
	}
	b := s.currentBehaviour()
	expect := r.Header.Get("X-Pistachioshore-Expect-Instance")
	switch {
	case b == WrongInstance || (expect != "" && expect != s.id):
		w.Header().Set("X-Pistachioshore-Instance-Id", "i-other")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case b == Resting:
		w.Header().Set("Retry-After", strconv.FormatFloat(RestTime.Seconds(), 'f', -1, 64))
		w.Header().Set("X-Pistachioshore-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case b == Shedding:
		w.Header().Set("X-Pistachioshore-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.recordExecution(r, body)
	s.state.With(func(st *state) { st.running++ })
	defer s.state.With(func(st *state) { st.running-- })
	if b == Crashing && strings.Contains(r.RequestURI, CrashingTarget) {
		if s.onCrash != nil {
			s.onCrash()
		}
		s.Close()
		panic(http.ErrAbortHandler)
	}
	if !pool.Sleep(r.Context(), s.serviceTime) {
		return // the caller closed the connection
	}
	s.respond(w, r, b, requestID)
}

// recordExecution records that the server begins to execute a request.
func (s *Server) recordExecution(r *http.Request, body []byte) {
	e := Execution{
		RequestID: r.Header.Get("X-Pistachioshore-Request-Id"), Method: r.Method, Target: r.RequestURI, Body: string(body), Header: r.Header, StartedAt: time.Now(),
	}
	s.state.With(func(st *state) { st.executions = append(st.executions, e) })
}

// copyDelay is the time after which a server with the behaviour LateCopy sends the copy.
const copyDelay = 100 * time.Millisecond

// respondRaw writes a faulty response to the connection itself.
func (s *Server) respondRaw(w http.ResponseWriter, b Behaviour, stamp, requestID string, record []byte) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection was closed
	}
	defer func() { _ = c.Close() }()
	head := "HTTP/1.1 200 OK\r\nX-Pistachioshore-Request-Id: " + requestID + "\r\nX-Pistachioshore-Response-Stamp: " + stamp + "\r\n"
	whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(record), record)
	filler := bytes.Repeat([]byte("x"), 1<<10)
	switch b {
	case EndlessHead:
		_, err = io.WriteString(c, head+"X-Filler: ")
	case EndlessBody:
		_, err = io.WriteString(c, head+"\r\n")
	case LateCopy:
		_, _ = io.WriteString(c, whole) // fails only if the caller closed the connection
		pool.Sleep(context.Background(), copyDelay)
		_, _ = io.WriteString(c, whole)
		return
	}
	for err == nil {
		_, err = c.Write(filler) // until the caller closes the connection
	}
}

// respond ends a request that was executed.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, b Behaviour, requestID string) {
	record := Record(s.id, r.RequestURI)
	if b == Large {
		record = bytes.Repeat(record, LargeBytes/len(record))
	}
	switch b {
	case DroppingResponse:
		panic(http.ErrAbortHandler)
	case Hanging:
		<-r.Context().Done()
		return
	case Duplicating, DuplicatingNoID:
		s.serveDuplicating(w, r, b)
		return
	case EndlessHead, EndlessBody, LateCopy:
		s.respondRaw(w, b, Stamp(s.id, requestID, record), requestID, record)
		return
	case Unsigned:
	case Limiting:
		w.Header().Set("Server-Limit", strconv.Itoa(RequestLimit))
		w.Header().Set("X-Pistachioshore-Response-Stamp", Stamp(s.id, requestID, record))
	case Leaving:
		w.Header().Set("Server-Leaving", "1")
		fallthrough
	default:
		w.Header().Set("X-Pistachioshore-Response-Stamp", Stamp(s.id, requestID, record))
	}
	w.Header().Set("X-Pistachioshore-Server-Load", strconv.Itoa(table.WithResult(s.state, func(st *state) int { return st.running }))+",0,3")
	if b == Failing {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(record) // fails only if the caller closed the connection
}
