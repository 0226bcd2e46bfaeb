package standin

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/table"
)

// reopenDelay is the delay between attempts to listen again on an address that another socket still uses.
const reopenDelay = 20 * time.Millisecond

// ListenFunc opens a listener; each call listens on the same address.
type ListenFunc func() (net.Listener, error)

// ListenTCP returns a ListenFunc for an address. If its port is 0, the first call picks a free port
// and later calls use the same one.
func ListenTCP(address netip.AddrPort) ListenFunc {
	var mu sync.Mutex
	return func() (net.Listener, error) {
		mu.Lock()
		defer mu.Unlock()
		l, err := net.Listen("tcp", address.String())
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", address)
		}
		address = l.Addr().(*net.TCPAddr).AddrPort()
		return l, nil
	}
}

// ReservePort listens on a free loopback port at once and returns its address, so that a configuration can
// name the address before anything serves it. The first call of the returned ListenFunc returns that listener.
func ReservePort() (netip.AddrPort, ListenFunc, error) {
	listen := ListenTCP(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0))
	first, err := listen()
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	reserved := make(chan net.Listener, 1)
	reserved <- first
	takeOrListen := func() (net.Listener, error) {
		select {
		case l := <-reserved:
			return l, nil
		default:
			return listen()
		}
	}
	return first.Addr().(*net.TCPAddr).AddrPort(), takeOrListen, nil
}

// Port is a listening address that can stop and resume accepting connections.
type Port struct {
	listen ListenFunc
	handle func(net.Conn)
	state  *table.Guarded[portState]
	tasks  sync.WaitGroup
	done   chan struct{}
}

type portState struct {
	listener  net.Listener // nil while connections are refused
	accepting bool         // connections should be accepted
	reopening bool         // a goroutine is trying to listen
	closed    bool
}

// NewPort returns a port that passes each accepted connection to handle, which must not block.
// It accepts none before Open.
func NewPort(listen ListenFunc, handle func(net.Conn)) *Port {
	return &Port{
		listen: listen, handle: handle, done: make(chan struct{}),
		state: table.NewGuarded(RankPort, portState{}),
	}
}

// Open starts accepting connections and returns the address; it does not retry if listening fails.
func (p *Port) Open() (net.Addr, error) {
	l, err := p.listen()
	if err != nil {
		return nil, err
	}
	p.state.With(func(s *portState) {
		s.accepting = true
		p.startAccepting(s, l)
	})
	return l.Addr(), nil
}

// Reopen accepts connections again after RefuseConnections, as soon as the address is free.
func (p *Port) Reopen() {
	p.state.With(func(s *portState) {
		s.accepting = true
		if s.listener != nil || s.reopening || s.closed {
			return
		}
		s.reopening = true
		p.tasks.Go(p.reopen)
	})
}

// RefuseConnections closes the listener, so that new connections are refused.
func (p *Port) RefuseConnections() {
	p.state.With(func(s *portState) {
		s.accepting = false
		s.closeListener()
	})
}

// Close closes the listener and waits for the port's goroutines.
func (p *Port) Close() {
	p.state.With(func(s *portState) {
		if !s.closed {
			s.closed = true
			close(p.done)
		}
		s.accepting = false
		s.closeListener()
	})
	p.tasks.Wait()
}

func (p *Port) reopen() {
	for {
		l, err := p.listen()
		finished := err == nil
		p.state.With(func(s *portState) {
			if l != nil {
				p.startAccepting(s, l)
			}
			finished = finished || s.closed || !s.accepting
			s.reopening = !finished
		})
		if finished {
			return
		}
		select {
		case <-time.After(reopenDelay):
		case <-p.done:
		}
	}
}

// startAccepting accepts connections from l, or closes it if the port was closed or refuses connections by now.
func (p *Port) startAccepting(s *portState, l net.Listener) {
	if s.closed || !s.accepting {
		_ = l.Close()
		return
	}
	s.listener = l
	p.tasks.Go(func() { p.accept(l) })
}

func (p *Port) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			p.handle(c)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			time.Sleep(reopenDelay) // for example out of file descriptors; retrying at once would spin
		}
	}
}

func (s *portState) closeListener() {
	if s.listener != nil {
		_ = s.listener.Close()
		s.listener = nil
	}
}
