package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ProxyMode is what a proxy does with the bytes of its connections.
type ProxyMode uint8

// The ways.
const (
	ProxyForward       ProxyMode = iota // passes them on
	ProxyDelay                          // passes them on after slowBy
	ProxyDropResponses                  // drops what the far end sends
	ProxyDropAll                        // drops everything, without closing
)

// slowBy is the delay of each chunk on a slow way.
const slowBy = 120 * time.Millisecond

// proxy stands between two processes on loopback.
type proxy struct {
	listener net.Listener
	work     sync.WaitGroup

	mu     sync.Mutex
	target netip.AddrPort
	way    ProxyMode
	conns  map[*net.TCPConn]bool
	closed bool
}

func newProxy(target netip.AddrPort) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a proxy")
	}
	p := &proxy{listener: l, target: target, conns: map[*net.TCPConn]bool{}}
	p.work.Go(p.accept)
	return p, nil
}

// address returns where the proxy listens.
func (p *proxy) address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// set changes what happens to the bytes of open and new connections.
func (p *proxy) set(w ProxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.way = w
}

func (p *proxy) current() ProxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.way
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0) // a close without it would end the connection in order
		_ = c.Close()
	}
}

// close ends the proxy with its connections.
func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.reset()
	p.work.Wait()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.work.Go(func() { p.connect(c.(*net.TCPConn)) })
	}
}

// connect joins a connection with one to the target.
func (p *proxy) connect(near *net.TCPConn) {
	far, err := net.DialTimeout("tcp", p.target.String(), time.Second)
	if err != nil {
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	ends := []*net.TCPConn{near, far.(*net.TCPConn)}
	if !p.register(ends) {
		return
	}
	var pumps sync.WaitGroup
	pumps.Go(func() { p.pump(ends[1], ends[0], ProxyDropAll) })
	pumps.Go(func() { p.pump(ends[0], ends[1], ProxyDropResponses) })
	pumps.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range ends {
		_ = c.Close()
		delete(p.conns, c)
	}
}

// register notes open connections; it closes them and returns false if the proxy has ended.
func (p *proxy) register(ends []*net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range ends {
		if p.closed {
			_ = c.Close()
			continue
		}
		p.conns[c] = true
	}
	return !p.closed
}

// pump passes bytes on in one direction; on ways from the given one on it drops them.
func (p *proxy) pump(to, from *net.TCPConn, drop ProxyMode) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch w := p.current(); {
			case w >= drop:
				n = 0
			case w == ProxyDelay:
				<-time.After(slowBy)
			}
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				_ = to.CloseWrite() // the other direction may go on
			} else {
				_ = to.SetLinger(0)
				_ = to.Close()
				_ = from.Close()
			}
			return
		}
	}
}
