package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Server is a stand-in for one server of a service. It serves one request at a time on a connection, runs as many
// requests as it has slots, queues a few more and sheds the rest as not run.
type Server struct {
	ID, Service, Zone, Address string
	Slots, Queue               int
	Work                       func(r *http.Request) time.Duration
	// Copy reports whether an answer is sent a second time, late: where the next answer on the connection is expected.
	Copy func(status int) bool
	// Endless reports whether a request that has run is answered with bytes that do not end.
	Endless func() bool
	// Fail returns the status with which a request that has run fails, or 0 if it succeeds.
	Fail func(stamp string) int
	// Shed returns whether to turn a request away, and the Retry-After to send with it, 0 for none.
	Shed func() (bool, time.Duration)

	record   *Record
	slots    chan struct{}
	mu       sync.Mutex
	waiting  int
	dark     bool
	leaving  bool
	arrivals []Arrival
	stamps   int
}

// Arrival is a request that reached a server.
type Arrival struct {
	Request string // its ID
	At      time.Time
	Ran     bool
}

// NewServer starts a server on a free loopback port.
func NewServer(r *Record, id, service, zone string, slots, queue int) *Server {
	s := &Server{
		ID: id, Service: service, Zone: zone, Slots: slots, Queue: queue, record: r, slots: make(chan struct{}, slots),
		Work: func(*http.Request) time.Duration { return 20 * time.Millisecond },
		Copy: func(int) bool { return false }, Fail: func(string) int { return 0 },
		Endless: func() bool { return false }, Shed: func() (bool, time.Duration) { return false, 0 },
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	unable(err)
	s.Address = l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveConn(c)
		}
	}()
	return s
}

// Entry returns what the server says of itself in the store.
func (s *Server) Entry(state string, sequence int) map[string]any {
	return map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.Zone, "version": "v1", "capacity": s.Slots, "state": state,
		"warmupLeftMs": 0, "sequence": sequence, "born": born,
	}
}

var born = time.Now().UnixMilli()

// SetDark makes the server fall silent: it reads requests and answers nothing.
func (s *Server) SetDark(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dark = on
}

// SetLeaving makes the server say in its answers that it leaves.
func (s *Server) SetLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Arrivals returns the requests that have reached the server.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

func (s *Server) arrive(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, Arrival{Request: id, At: time.Now()})
	return len(s.arrivals) - 1
}

func (s *Server) serveConn(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	var copied []byte // a second copy of the last answer, which is due where the next one is expected
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if copied != nil {
			s.record.Line("%s sends its last answer once more, late", s.ID)
			if _, err := c.Write(copied); err != nil {
				return
			}
			copied = nil
		}
		gone, peeked := make(chan struct{}), make(chan error, 1)
		go func() { // a client that sends nothing more and closes has gone
			_, err := br.Peek(1)
			if err != nil {
				close(gone)
			}
			peeked <- err
		}()
		answer, status := s.answer(r, gone)
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		if status == endlessStatus {
			writeForever(c)
			return
		}
		if s.Copy(status) {
			copied = answer
		}
		if err := <-peeked; err != nil { // the next request, or the end of the connection
			return
		}
	}
}

// answer runs or turns away a request and returns the bytes of the answer, or nil for none.
func (s *Server) answer(r *http.Request, gone <-chan struct{}) ([]byte, int) {
	id := r.Header.Get("X-Pistachioshore-Request-Id")
	if r.URL.Path == "/health" {
		return s.encode(200, id, "", nil, nil), 200
	}
	if expect := r.Header.Get("X-Pistachioshore-Expect-Instance"); expect != "" && expect != s.ID {
		return s.encode(421, id, "", nil, nil), 421
	}
	n := s.arrive(id)
	s.mu.Lock()
	dark := s.dark
	s.mu.Unlock()
	if dark {
		<-gone
		return nil, 0
	}
	if shed, after := s.Shed(); shed {
		s.record.Line("%s turns request %s away with 503, Retry-After %v", s.ID, id, after)
		return s.encode(503, id, "", map[string]string{"X-Pistachioshore-Not-Executed": "1", "Retry-After": retryAfter(after)}, nil), 503
	}
	ms, _ := strconv.Atoi(r.Header.Get("X-Pistachioshore-Deadline-Ms"))
	deadline := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer deadline.Stop()
	if !s.takeSlot(deadline, gone) {
		s.record.Line("%s turns request %s away, it is full", s.ID, id)
		return s.encode(503, id, "", map[string]string{"X-Pistachioshore-Not-Executed": "1"}, nil), 503
	}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.arrivals[n].Ran = true
	s.stamps++
	stamp := fmt.Sprintf("%s.%s.%d", s.ID, id, s.stamps)
	s.mu.Unlock()
	s.record.Line("%s runs request %s, stamp %s", s.ID, id, stamp)
	work := time.NewTimer(s.Work(r))
	defer work.Stop()
	select {
	case <-work.C:
	case <-deadline.C:
		return s.encode(504, id, stamp, nil, nil), 504
	case <-gone:
		s.record.Line("%s drops request %s, its connection has closed", s.ID, id)
		return nil, 0
	}
	if s.Endless() {
		s.record.Line("%s answers request %s with bytes that do not end", s.ID, id)
		return []byte("HTTP/1.1 200 OK\r\nX-Pistachioshore-Request-Id: " + id + "\r\nX-Pistachioshore-Response-Stamp: " + stamp + "\r\n\r\n"), endlessStatus
	}
	if status := s.Fail(stamp); status != 0 {
		s.record.Line("%s fails request %s with %d", s.ID, id, status)
		return s.encode(status, id, stamp, nil, []byte("the query cannot be processed by this server")), status
	}
	return s.encode(200, id, stamp, nil, s.body(id)), 200
}

// body returns records of 16 bytes that name the server.
func (s *Server) body(id string) []byte {
	text := fmt.Sprintf("%-16.16s", s.ID) + fmt.Sprintf("%-16.16s", id)
	return []byte(text)
}

// takeSlot waits for a slot. It returns false if the queue is full, or the deadline passes in it.
func (s *Server) takeSlot(deadline *time.Timer, gone <-chan struct{}) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	full := s.waiting >= s.Queue
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-deadline.C:
		return false
	case <-gone:
		return false
	}
}

func retryAfter(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

func (s *Server) encode(status int, id, stamp string, header map[string]string, body []byte) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	line := func(name, value string) {
		if value != "" {
			fmt.Fprintf(&b, "%s: %s\r\n", name, value)
		}
	}
	line("X-Pistachioshore-Request-Id", id)
	line("X-Pistachioshore-Instance-Id", s.ID)
	line("X-Pistachioshore-Response-Stamp", stamp)
	s.mu.Lock()
	leaving, running, waiting := s.leaving, len(s.slots), s.waiting
	s.mu.Unlock()
	line("X-Pistachioshore-Server-Load", fmt.Sprintf("%d,%d,%d", running, waiting, s.Slots))
	if leaving {
		line("Server-Leaving", "1")
	}
	for name, value := range header {
		line(name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return []byte(b.String())
}

// endlessStatus stands for an answer whose body does not end.
const endlessStatus = -1

// writeForever writes 1 MB a second until the connection is closed.
func writeForever(c net.Conn) {
	chunk := make([]byte, 10_000)
	for {
		if _, err := c.Write(chunk); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
