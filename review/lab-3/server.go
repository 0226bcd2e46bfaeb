package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a stand-in for a server of a service. It follows the protocol: it runs requests that name it, signs its answers,
// and rejects others with 421.
type server struct {
	id, service, zone string
	listener          net.Listener
	work              time.Duration
	answerBytes       int
	records           bool // answers are records of 16 bytes

	mu    sync.Mutex
	runs  []execution
	conns map[net.Conn]bool
}

// execution is a request that a server began to run.
type execution struct {
	id, method, target string
	body               int
	at                 time.Time
}

// addServer starts a server and registers it in the store.
func (l *lab) addServer(id, service, zone string, setUp func(s *server)) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, listener: listener, work: 5 * time.Millisecond, answerBytes: 200, conns: map[net.Conn]bool{}}
	if setUp != nil {
		setUp(s)
	}
	go s.accept()
	l.servers = append(l.servers, s)
	l.store.put("servers/"+id, s.entry())
	return s, nil
}

// entry returns the entry that the server registers.
func (s *server) entry() []byte {
	b, _ := json.Marshal(map[string]any{ // cannot fail
		"service": s.service, "address": s.address(), "zone": s.zone, "version": "v1", "capacity": 6, "state": "ready",
		"warmupLeftMs": 0, "sequence": 4, "born": time.Now().UnixMilli(),
	})
	return b
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// executions returns the requests that the server began to run.
func (s *server) executions() []execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]execution(nil), s.runs...)
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if !s.answer(c, r) {
			return
		}
	}
}

// answer answers one request and reports whether the connection can carry another one.
func (s *server) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Pistachioshore-Request-Id")
	echo := ""
	if id != "" {
		echo = "X-Pistachioshore-Request-Id: " + id + "\r\n"
	}
	expect := r.Header.Get("X-Pistachioshore-Expect-Instance")
	switch {
	case expect != "" && expect != s.id:
		return s.reply(c, r, "421 Misdirected Request", echo+"X-Pistachioshore-Instance-Id: "+s.id+"\r\n", nil)
	case r.URL.Path == "/health":
		return s.reply(c, r, "200 OK", "X-Pistachioshore-Instance-Id: "+s.id+"\r\nX-Pistachioshore-Server-Load: 0,0,6\r\n", nil)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	s.mu.Lock()
	s.runs = append(s.runs, execution{id, r.Method, r.RequestURI, len(body), time.Now()})
	s.mu.Unlock()
	time.Sleep(s.work)
	out := s.body(r.RequestURI)
	head := echo + "X-Pistachioshore-Response-Stamp: " + stamp(s.id, id, out) + "\r\nX-Pistachioshore-Server-Load: 1,0,6\r\n"
	return s.reply(c, r, "200 OK", head, out)
}

// reply writes a response, and reads what is left of the request.
func (s *server) reply(c net.Conn, r *http.Request, status, head string, body []byte) bool {
	text := fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n", status, head, len(body))
	if _, err := c.Write(append([]byte(text), body...)); err != nil {
		return false
	}
	_, err := io.Copy(io.Discard, r.Body)
	return err == nil
}

// body returns the body of the server's answer to a request.
func (s *server) body(target string) []byte {
	if !s.records {
		return []byte(strings.Repeat("x", s.answerBytes))
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.id + target))
	return []byte(fmt.Sprintf("%016x", h.Sum64()))
}

// stamp returns the signature of an answer.
func stamp(server, id string, body []byte) string {
	h := fnv.New64a()
	_, _ = h.Write(body)
	return fmt.Sprintf("%s.%s.%x", server, id, h.Sum64())
}
