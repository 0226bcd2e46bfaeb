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

// Relay passes the bytes of each connection between a listening address and a target.
type Relay struct {
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
func New(name string, listen, target netip.AddrPort) (*Relay, error) {
	r := &Relay{
		name: name, target: target,
		state: table.NewGuarded(standin.RankRelay, relayState{links: map[*link]struct{}{}}),
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
func (r *Relay) Name() string {
	return r.name
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() netip.AddrPort {
	return r.address
}

// SetFaults replaces the faults; delays hold for what is sent from now on.
func (r *Relay) SetFaults(f Faults) {
	r.state.With(func(s *relayState) { s.faults = f })
	if f.Refuse {
		r.port.Refuse()
	} else {
		r.port.Reopen()
	}
}

// Cut closes the present connections on both sides.
func (r *Relay) Cut() {
	for _, l := range r.links() {
		l.end()
	}
}

// Freeze makes the present connections neither deliver nor close, until Cut or Close; new ones work.
func (r *Relay) Freeze() {
	for _, l := range r.links() {
		l.freeze()
	}
}

// Counts returns what the relay has counted.
func (r *Relay) Counts() Counts {
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
func (r *Relay) Close() {
	r.state.With(func(s *relayState) { s.closed = true })
	r.port.Close()
	r.Cut()
	r.tasks.Wait()
}

func (r *Relay) links() []*link {
	return table.WithResult(r.state, func(s *relayState) []*link {
		all := make([]*link, 0, len(s.links))
		for l := range s.links {
			all = append(all, l)
		}
		return all
	})
}

// accept starts a link; the connection to the target is opened outside of the accepting goroutine.
func (r *Relay) accept(client net.Conn) {
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

func (r *Relay) run(l *link) {
	defer r.release(l)
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(l.ctx, "tcp", r.target.String())
	if err != nil {
		r.state.With(func(s *relayState) { s.counts.Failed++ })
		return
	}
	l.run(target, r.delay)
}

func (r *Relay) release(l *link) {
	l.end()
	r.state.With(func(s *relayState) { delete(s.links, l) })
}

// delay returns the one-way delays that hold now.
func (r *Relay) delay() (forward, back time.Duration) {
	r.state.With(func(s *relayState) { forward, back = s.faults.Forward, s.faults.Back })
	return forward, back
}
