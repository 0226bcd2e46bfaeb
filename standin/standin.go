// Package standin holds what the stand-ins for the platform and the upstreams share. Tests and the demo run
// the tier against these stand-ins.
package standin

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/table"
)

// Lock ranks of the stand-ins; a stand-in holds at most one lock of each rank at a time.
const (
	RankSet      table.Rank = 200 // configuration of a set of upstreams
	RankPlatform table.Rank = 210 // state of the platform or of its key-value store
	RankUpstream table.Rank = 220 // state of an upstream or of a shard.Server; record loader of an upstream
	RankEndpoint table.Rank = 230 // connections of an upstream
	RankProxy    table.Rank = 240 // state of a network proxy
	RankPort     table.Rank = 250 // state of a Port
)

// Handler is a stand-in that can be served.
type Handler interface {
	http.Handler
}

// Server serves one stand-in on one address.
type Server struct {
	listener net.Listener
	http     *http.Server
	done     chan struct{}
}

// Serve listens on address and serves h until Close; port 0 picks a free one.
func Serve(address netip.AddrPort, h Handler) (*Server, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	s := &Server{
		listener: l,
		http:     &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second},
		done:     make(chan struct{}),
	}
	go s.serve()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close closes the listener and every connection.
func (s *Server) Close() error {
	err := s.http.Close()
	<-s.done
	return errors.Wrap(err, "close stand-in")
}

// Shutdown closes the listener and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	<-s.done
	return errors.Wrap(err, "shut down stand-in")
}

func (s *Server) serve() {
	defer close(s.done)
	_ = s.http.Serve(s.listener) // always returns ErrServerClosed
}
