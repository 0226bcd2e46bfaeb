package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ProxyMode is what a proxy does with the data of its connections.
type ProxyMode uint8

// Modes of a proxy; each mode after ProxyDelay also drops what the modes before it drop.
const (
	ProxyForward       ProxyMode = iota // forwards data
	ProxyDelay                          // forwards data after chunkDelay
	ProxyDropResponses                  // drops what the target sends
	ProxyDropAll                        // drops all data without closing the connections
)

// chunkDelay is the delay of each chunk in the mode ProxyDelay.
const chunkDelay = 120 * time.Millisecond

// proxy forwards TCP connections between two processes on loopback, and injects the fault of its mode.
type proxy struct {
	listener net.Listener
	tasks    sync.WaitGroup

	mu     sync.Mutex
	target netip.AddrPort
	mode   ProxyMode
	conns  map[*net.TCPConn]bool
	closed bool
	port   *reservedPort // of a crashed server; nil if the port is not reserved
}

func newProxy(target netip.AddrPort) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a proxy")
	}
	p := &proxy{listener: l, target: target, conns: map[*net.TCPConn]bool{}}
	p.tasks.Go(p.accept)
	return p, nil
}

// address returns the address that the proxy listens on.
func (p *proxy) address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// setMode changes the mode for open and new connections.
func (p *proxy) setMode(mode ProxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

func (p *proxy) currentMode() ProxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// resetConnections resets all open connections.
func (p *proxy) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0) // makes Close send RST instead of FIN
		_ = c.Close()
	}
}

// close closes the listener and all connections, waits for the proxy's goroutines and frees the port.
func (p *proxy) close() {
	p.stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.port != nil {
		p.port.release()
		p.port = nil
	}
}

// crash refuses connections from now on, and keeps the port until close is called.
func (p *proxy) crash() error {
	p.stop()
	port, err := reservePort(p.address())
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.port = port
	return nil
}

func (p *proxy) stop() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.resetConnections()
	p.tasks.Wait()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.tasks.Go(func() { p.connect(c.(*net.TCPConn)) })
	}
}

// connect connects a client to the target and copies data between them.
func (p *proxy) connect(clientConn *net.TCPConn) {
	targetConn, err := net.DialTimeout("tcp", p.target.String(), time.Second)
	if err != nil {
		_ = clientConn.SetLinger(0)
		_ = clientConn.Close()
		return
	}
	ends := []*net.TCPConn{clientConn, targetConn.(*net.TCPConn)}
	if !p.register(ends) {
		return
	}
	var copies sync.WaitGroup
	copies.Go(func() { p.copyData(ends[1], ends[0], ProxyDropAll) })
	copies.Go(func() { p.copyData(ends[0], ends[1], ProxyDropResponses) })
	copies.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range ends {
		_ = c.Close()
		delete(p.conns, c)
	}
}

// register adds open connections; it closes them and returns false if the proxy is closed.
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

// copyData copies data in one direction; in the mode drop and the modes after it, it discards the data.
func (p *proxy) copyData(to, from *net.TCPConn, drop ProxyMode) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch mode := p.currentMode(); {
			case mode >= drop:
				n = 0
			case mode == ProxyDelay:
				<-time.After(chunkDelay)
			}
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				_ = to.CloseWrite() // the other direction may still be open
			} else {
				_ = to.SetLinger(0)
				_ = to.Close()
				_ = from.Close()
			}
			return
		}
	}
}
