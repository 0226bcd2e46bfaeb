package shard

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/pool"
)

// serveDuplicating responds to an executed request, and then to all further ones on its connection. Before each further
// response it sends a copy of the one before, until the behaviour of the server changes.
func (s *Server) serveDuplicating(w http.ResponseWriter, r *http.Request, b Behaviour) {
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection was closed
	}
	defer func() { _ = c.Close() }()
	last := s.rawResponse(r, b)
	_, err = c.Write(last)
	for err == nil {
		last, err = s.serveNext(c, buffered.Reader, last)
	}
}

// errNoDuplicates ends a connection on which the server no longer sends duplicates.
var errNoDuplicates = errors.New("server no longer sends duplicates")

// serveNext serves the next request of a connection, and sends a copy of the last response before its response.
func (s *Server) serveNext(c io.Writer, br *bufio.Reader, last []byte) ([]byte, error) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil, err // the caller closed the connection
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	b := s.currentBehaviour()
	if b != Duplicating && b != DuplicatingNoID {
		return nil, errNoDuplicates
	}
	if _, err := c.Write(last); err != nil {
		return nil, err
	}
	response := s.executeRaw(r, body, b)
	_, err = c.Write(response)
	return response, err
}

// executeRaw executes a request and returns the bytes of its response.
func (s *Server) executeRaw(r *http.Request, body []byte, b Behaviour) []byte {
	if expect := r.Header.Get("X-Pistachioshore-Expect-Instance"); expect != "" && expect != s.id {
		return []byte("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
	}
	s.recordExecution(r, body)
	pool.Sleep(context.Background(), s.serviceTime)
	return s.rawResponse(r, b)
}

// rawResponse returns the bytes of the signed response to a request.
func (s *Server) rawResponse(r *http.Request, b Behaviour) []byte {
	id := r.Header.Get("X-Pistachioshore-Request-Id")
	record := Record(s.id, r.RequestURI)
	head := "HTTP/1.1 200 OK\r\n"
	if b != DuplicatingNoID {
		head += "X-Pistachioshore-Request-Id: " + id + "\r\n"
	}
	return fmt.Appendf(nil, "%sX-Pistachioshore-Response-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", head, Stamp(s.id, id, record), len(record), record)
}
