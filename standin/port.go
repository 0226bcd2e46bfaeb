package standin

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/table"
)

// reopenDelay is the pause between two tries to listen again on an address that another socket still holds.
const reopenDelay = 20 * time.Millisecond

// ListenFunc opens a listener; each call returns one for the same address.
type ListenFunc func() (net.Listener, error)

// ListenTCP returns a Listen for an address; port 0 is replaced by the port that the first call gets.
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

// ReservePort listens on a free port of loopback at once, so that a configuration can name the address
// before anything serves it; the first call of the Listen takes the listener over.
func ReservePort() (netip.AddrPort, ListenFunc, error) {
	listen := ListenTCP(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0))
	first, err := listen()
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	held := make(chan net.Listener, 1)
	held <- first
	again := func() (net.Listener, error) {
		select {
		case l := <-held:
			return l, nil
		default:
			return listen()
		}
	}
	return first.Addr().(*net.TCPAddr).AddrPort(), again, nil
}

// Port is a listening address that can refuse connections for a time and accept again.
type Port struct {
	listen ListenFunc
	handle func(net.Conn)
	state  *table.Guarded[portState]
	tasks  sync.WaitGroup
	done   chan struct{}
}

type portState struct {
	listener net.Listener // nil while connections are refused
	wanted   bool         // connections should be accepted
	opening  bool         // a task tries to listen
	closed   bool
}

// NewPort returns a port that passes each accepted connection to handle, which must not block.
func NewPort(listen ListenFunc, handle func(net.Conn)) *Port {
	return &Port{
		listen: listen, handle: handle, done: make(chan struct{}),
		state: table.NewGuarded(RankPort, portState{}),
	}
}

// Open accepts connections and returns the address; it fails if the address cannot be listened on now.
func (p *Port) Open() (net.Addr, error) {
	l, err := p.listen()
	if err != nil {
		return nil, err
	}
	p.state.With(func(s *portState) {
		s.wanted = true
		p.use(s, l)
	})
	return l.Addr(), nil
}

// Reopen accepts connections again after Refuse, as soon as the address is free.
func (p *Port) Reopen() {
	p.state.With(func(s *portState) {
		s.wanted = true
		if s.listener != nil || s.opening || s.closed {
			return
		}
		s.opening = true
		p.tasks.Go(p.reopen)
	})
}

// RefuseConnections closes the listener, so that new connections are refused.
func (p *Port) RefuseConnections() {
	p.state.With(func(s *portState) {
		s.wanted = false
		s.release()
	})
}

// Close ends the port and waits for its goroutines.
func (p *Port) Close() {
	p.state.With(func(s *portState) {
		if !s.closed {
			s.closed = true
			close(p.done)
		}
		s.wanted = false
		s.release()
	})
	p.tasks.Wait()
}

func (p *Port) reopen() {
	for {
		l, err := p.listen()
		finished := err == nil
		p.state.With(func(s *portState) {
			if l != nil {
				p.use(s, l)
			}
			finished = finished || s.closed || !s.wanted
			s.opening = !finished
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

// use starts to accept from l unless the port no longer wants to.
func (p *Port) use(s *portState, l net.Listener) {
	if s.closed || !s.wanted {
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
			time.Sleep(reopenDelay) // out of descriptors: accepting at once again would fail in a busy loop
		}
	}
}

func (s *portState) release() {
	if s.listener != nil {
		_ = s.listener.Close()
		s.listener = nil
	}
}
