// Package network is the stand-in for the network between two ends: a TCP relay on loopback that can
// delay, refuse, cut and freeze.
package network

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"pistachioshore.dev/standin"
	"pistachioshore.dev/table"
)

// dialTimeout bounds how long the relay tries to reach the target for one connection.
const dialTimeout = 2 * time.Second

// Proxy passes the bytes of each connection between a listening address and a target.
type Proxy struct {
	name    string
	target  netip.AddrPort
	address netip.AddrPort
	port    *standin.Port
	state   *table.Guarded[relayState]
	tasks   sync.WaitGroup
}

type relayState struct {
	faults Faults
	links  map[*link]struct{}
	counts Counts
	closed bool
}

// New returns a relay that accepts connections; name says which path it stands for.
func New(name string, listen, target netip.AddrPort) (*Proxy, error) {
	r := &Proxy{
		name: name, target: target,
		state: table.NewGuarded(standin.RankProxy, relayState{links: map[*link]struct{}{}}),
	}
	r.port = standin.NewPort(standin.ListenTCP(listen), r.accept)
	address, err := r.port.Open()
	if err != nil {
		return nil, err
	}
	r.address = address.(*net.TCPAddr).AddrPort()
	return r, nil
}

// Name returns the name of the path.
func (r *Proxy) Name() string {
	return r.name
}

// Address returns the address that the relay listens on.
func (r *Proxy) Address() netip.AddrPort {
	return r.address
}

// SetFaults replaces the faults; delays hold for what is sent from now on.
func (r *Proxy) SetFaults(f Faults) {
	r.state.With(func(s *relayState) { s.faults = f })
	if f.RefuseNew {
		r.port.RefuseConnections()
	} else {
		r.port.Reopen()
	}
}

// CloseConnections closes the present connections on both sides.
func (r *Proxy) CloseConnections() {
	for _, l := range r.links() {
		l.end()
	}
}

// FreezeConnections makes the present connections neither deliver nor close, until Cut or Close; new ones work.
func (r *Proxy) FreezeConnections() {
	for _, l := range r.links() {
		l.freeze()
	}
}

// Counts returns what the relay has counted.
func (r *Proxy) Counts() Counts {
	return table.WithResult(r.state, func(s *relayState) Counts {
		c := s.counts
		c.Open = len(s.links)
		for l := range s.links {
			if l.isFrozen() {
				c.Frozen++
			}
		}
		return c
	})
}

// Close ends every connection and waits for the relay's goroutines.
func (r *Proxy) Close() {
	r.state.With(func(s *relayState) { s.closed = true })
	r.port.Close()
	r.CloseConnections()
	r.tasks.Wait()
}

func (r *Proxy) links() []*link {
	return table.WithResult(r.state, func(s *relayState) []*link {
		all := make([]*link, 0, len(s.links))
		for l := range s.links {
			all = append(all, l)
		}
		return all
	})
}

// accept starts a link; the connection to the target is opened outside of the accepting goroutine.
func (r *Proxy) accept(client net.Conn) {
	l := newLink(client)
	accepted := false
	r.state.With(func(s *relayState) {
		s.counts.Accepted++
		if accepted = !s.closed; accepted {
			s.links[l] = struct{}{}
			r.tasks.Go(func() { r.run(l) })
		}
	})
	if !accepted {
		l.end()
	}
}

func (r *Proxy) run(l *link) {
	defer r.release(l)
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(l.ctx, "tcp", r.target.String())
	if err != nil {
		r.state.With(func(s *relayState) { s.counts.FailedDials++ })
		return
	}
	l.run(target, r.delay)
}

func (r *Proxy) release(l *link) {
	l.end()
	r.state.With(func(s *relayState) { delete(s.links, l) })
}

// delay returns the one-way delays that hold now.
func (r *Proxy) delay() (forward, back time.Duration) {
	r.state.With(func(s *relayState) { forward, back = s.faults.ForwardDelay, s.faults.ReturnDelay })
	return forward, back
}
