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
type Proxy struct {
	name    string
	target  netip.AddrPort
	address netip.AddrPort
	port    *standin.Port
	state   *table.Guarded[proxyState]
	tasks   sync.WaitGroup
}

type proxyState struct {
	faults Faults
	links  map[*link]struct{}
	counts Counts
	closed bool
}

// New starts a proxy; name says which network path it stands for.
func New(name string, listen, target netip.AddrPort) (*Proxy, error) {
	r := &Proxy{
		name: name, target: target,
		state: table.NewGuarded(standin.RankProxy, proxyState{links: map[*link]struct{}{}}),
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
func (r *Proxy) Name() string {
	return r.name
}

// Address returns the address that the proxy listens on.
func (r *Proxy) Address() netip.AddrPort {
	return r.address
}

// SetFaults replaces the faults; delays apply to data sent from now on.
func (r *Proxy) SetFaults(f Faults) {
	r.state.With(func(s *proxyState) { s.faults = f })
	if f.RefuseNew {
		r.port.RefuseConnections()
	} else {
		r.port.Reopen()
	}
}

// CloseConnections closes the open connections on both sides.
func (r *Proxy) CloseConnections() {
	for _, l := range r.links() {
		l.close()
	}
}

// FreezeConnections makes the open connections neither transfer data nor close, until CloseConnections or Close;
// new connections work.
func (r *Proxy) FreezeConnections() {
	for _, l := range r.links() {
		l.freeze()
	}
}

// Counts returns the proxy's counts.
func (r *Proxy) Counts() Counts {
	return table.WithResult(r.state, func(s *proxyState) Counts {
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
func (r *Proxy) Close() {
	r.state.With(func(s *proxyState) { s.closed = true })
	r.port.Close()
	r.CloseConnections()
	r.tasks.Wait()
}

func (r *Proxy) links() []*link {
	return table.WithResult(r.state, func(s *proxyState) []*link {
		all := make([]*link, 0, len(s.links))
		for l := range s.links {
			all = append(all, l)
		}
		return all
	})
}

// accept starts a link. It connects to the target in another goroutine, so that it does not block the port.
func (r *Proxy) accept(client net.Conn) {
	l := newLink(client)
	accepted := false
	r.state.With(func(s *proxyState) {
		s.counts.Accepted++
		if accepted = !s.closed; accepted {
			s.links[l] = struct{}{}
			r.tasks.Go(func() { r.runLink(l) })
		}
	})
	if !accepted {
		l.close()
	}
}

func (r *Proxy) runLink(l *link) {
	defer r.removeLink(l)
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(l.ctx, "tcp", r.target.String())
	if err != nil {
		r.state.With(func(s *proxyState) { s.counts.FailedDials++ })
		return
	}
	l.run(target, r.delays)
}

func (r *Proxy) removeLink(l *link) {
	l.close()
	r.state.With(func(s *proxyState) { delete(s.links, l) })
}

// delays returns the current one-way delays.
func (r *Proxy) delays() (forward, back time.Duration) {
	r.state.With(func(s *proxyState) { forward, back = s.faults.ForwardDelay, s.faults.ReturnDelay })
	return forward, back
}
