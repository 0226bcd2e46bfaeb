// Package network implements a stand-in for the network between two processes: a TCP proxy on loopback that
// can delay data and refuse, close or freeze connections.
package network

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"pistachioshore.dev/standin"
	"pistachioshore.dev/table"
)

// dialTimeout is how long the proxy tries to connect to the target.
const dialTimeout = 2 * time.Second

// Proxy accepts connections on one address and forwards each of them to a target.
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

// New starts a proxy; name says which network path it stands for.
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

// Name returns the name of the network path.
func (r *Relay) Name() string {
	return r.name
}

// Address returns the address that the proxy listens on.
func (r *Relay) Address() netip.AddrPort {
	return r.address
}

// SetFaults replaces the faults; delays apply to data sent from now on.
func (r *Relay) SetFaults(f Faults) {
	r.state.With(func(s *relayState) { s.faults = f })
	if f.Refuse {
		r.port.Refuse()
	} else {
		r.port.Reopen()
	}
}

// CloseConnections closes the open connections on both sides.
func (r *Relay) Cut() {
	for _, l := range r.links() {
		l.end()
	}
}

// FreezeConnections makes the open connections neither transfer data nor close, until CloseConnections or Close;
// new connections work.
func (r *Relay) Freeze() {
	for _, l := range r.links() {
		l.freeze()
	}
}

// Counts returns the proxy's counts.
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

// Close closes every connection and waits for the proxy's goroutines.
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

// accept starts a link. It connects to the target in another goroutine, so that it does not block the port.
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

// delays returns the current one-way delays.
func (r *Relay) delay() (forward, back time.Duration) {
	r.state.With(func(s *relayState) { forward, back = s.faults.Forward, s.faults.Back })
	return forward, back
}
