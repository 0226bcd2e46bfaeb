package tier

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/transport"
)

// PlatformSegment is the network segment of the platform. Every zone is a segment too, under its own name.
const PlatformSegment = "platform"

// Network dials the outgoing connections of the VMs and simulates network faults on them: partitions between
// two segments, and connections that no longer deliver any data. It is safe for concurrent use.
type Network struct {
	mu           sync.Mutex
	segments     map[netip.AddrPort]string
	partitioned  map[link]bool
	silentClosed []*linkConn // closed by the VM while silent; the remote ends have not been notified
	conns        map[*linkConn]struct{}
}

// link is a pair of segments; a is the lesser name, so that each pair has one representation.
type link struct {
	a, b string
}

func newLink(a, b string) link {
	if b < a {
		a, b = b, a
	}
	return link{a, b}
}

func newNetwork() *Network {
	return &Network{segments: map[netip.AddrPort]string{}, partitioned: map[link]bool{}, conns: map[*linkConn]struct{}{}}
}

// setSegment assigns an address to a segment.
func (n *Network) setSegment(address netip.AddrPort, segment string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.segments[address] = segment
}

// Partition cuts the link between two segments until Heal is called: open connections no longer deliver data, and
// new ones fail.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := newLink(a, b)
	n.partitioned[l] = true
	for c := range n.conns {
		if c.link == l {
			c.silence()
		}
	}
}

// Heal restores the link between two segments. It resets the silent connections of the link and all silent
// connections that the VMs have closed.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	l := newLink(a, b)
	delete(n.partitioned, l)
	var interrupted []*linkConn
	for c := range n.conns {
		if c.link == l && c.isSilent() {
			interrupted = append(interrupted, c)
		}
	}
	interrupted = append(interrupted, n.silentClosed...)
	n.silentClosed = nil
	n.mu.Unlock()
	for _, c := range interrupted {
		c.reset()
	}
}

// SilenceConnections permanently stops the open connections to or from an address from delivering data or
// signalling a close. New connections are not affected.
func (n *Network) SilenceConnections(address netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.from == address || c.to == address {
			c.silence()
		}
	}
}

// ResetSilentConnections resets the silent connections that the VMs have closed, so that the remote ends can
// release them.
func (n *Network) ResetSilentConnections() {
	n.mu.Lock()
	conns := n.silentClosed
	n.silentClosed = nil
	n.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
}

// dialFrom returns the dial function of the VM with the given address.
func (n *Network) dialFrom(from netip.AddrPort) transport.DialFunc {
	dialer := &net.Dialer{}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, errors.Wrap(err, "parse address")
		}
		if n.isPartitioned(from, to) {
			return nil, errors.Newf("%s is unreachable from %s", to, from)
		}
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.track(c, from, to)
	}
}

func (n *Network) isPartitioned(from, to netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[newLink(n.segments[from], n.segments[to])]
}

// track wraps and registers a new connection. It fails if a partition began while the connection was opened.
func (n *Network) track(c net.Conn, from, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	lc := &linkConn{
		Conn: c, network: n, from: from, to: to, link: newLink(n.segments[from], n.segments[to]), closed: make(chan struct{}),
	}
	if n.partitioned[lc.link] {
		_ = c.Close()
		return nil, errors.Newf("%s is unreachable from %s", to, from)
	}
	n.conns[lc] = struct{}{}
	return lc, nil
}

// untrack removes a connection that the VM closes. It reports whether to close the underlying connection too,
// which would notify the remote end.
func (n *Network) untrack(c *linkConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
	if c.isSilent() {
		n.silentClosed = append(n.silentClosed, c)
		return false
	}
	return true
}
