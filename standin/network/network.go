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
	p := &Proxy{
		name: name, target: target,
		state: table.NewGuarded(standin.RankProxy, proxyState{links: map[*link]struct{}{}}),
	}
	p.port = standin.NewPort(standin.ListenTCP(listen), p.accept)
	address, err := p.port.Open()
	if err != nil {
		return nil, err
	}
	p.address = address.(*net.TCPAddr).AddrPort()
	return p, nil
}

// Name returns the name of the network path.
func (p *Proxy) Name() string {
	return p.name
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() netip.AddrPort {
	return p.address
}

// SetFaults replaces the faults; delays apply to data sent from now on.
func (p *Proxy) SetFaults(f Faults) {
	p.state.With(func(s *proxyState) { s.faults = f })
	if f.RefuseNew {
		p.port.RefuseConnections()
	} else {
		p.port.Reopen()
	}
}

// CloseConnections closes the open connections on both sides.
func (p *Proxy) CloseConnections() {
	for _, l := range p.links() {
		l.close()
	}
}

// FreezeConnections makes the open connections neither transfer data nor close, until CloseConnections or Close;
// new connections work.
func (p *Proxy) FreezeConnections() {
	for _, l := range p.links() {
		l.freeze()
	}
}

// Counts returns the proxy's counts.
func (p *Proxy) Counts() Counts {
	return table.WithResult(p.state, func(s *proxyState) Counts {
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
func (p *Proxy) Close() {
	p.state.With(func(s *proxyState) { s.closed = true })
	p.port.Close()
	p.CloseConnections()
	p.tasks.Wait()
}

func (p *Proxy) links() []*link {
	return table.WithResult(p.state, func(s *proxyState) []*link {
		all := make([]*link, 0, len(s.links))
		for l := range s.links {
			all = append(all, l)
		}
		return all
	})
}

// accept starts a link. It connects to the target in another goroutine, so that it does not block the port.
func (p *Proxy) accept(client net.Conn) {
	l := newLink(client)
	accepted := false
	p.state.With(func(s *proxyState) {
		s.counts.Accepted++
		if accepted = !s.closed; accepted {
			s.links[l] = struct{}{}
			p.tasks.Go(func() { p.runLink(l) })
		}
	})
	if !accepted {
		l.close()
	}
}

func (p *Proxy) runLink(l *link) {
	defer p.removeLink(l)
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(l.ctx, "tcp", p.target.String())
	if err != nil {
		p.state.With(func(s *proxyState) { s.counts.FailedDials++ })
		return
	}
	l.run(target, p.delays)
}

func (p *Proxy) removeLink(l *link) {
	l.close()
	p.state.With(func(s *proxyState) { delete(s.links, l) })
}

// delays returns the current one-way delays.
func (p *Proxy) delays() (forward, back time.Duration) {
	p.state.With(func(s *proxyState) { forward, back = s.faults.ForwardDelay, s.faults.ReturnDelay })
	return forward, back
}
