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
	mu     sync.Mutex
	sides  map[netip.AddrPort]string
	cuts   map[path]bool
	frozen []*pathConn // closed by the VM while silent; the remote ends have not been notified
	open   map[*pathConn]struct{}
}

// link is a pair of segments; a is the lesser name, so that each pair has one representation.
type path struct {
	a, b string
}

func newPath(a, b string) path {
	if b < a {
		a, b = b, a
	}
	return path{a, b}
}

func newNetwork() *Network {
	return &Network{sides: map[netip.AddrPort]string{}, cuts: map[path]bool{}, open: map[*pathConn]struct{}{}}
}

// setSegment assigns an address to a segment.
func (n *Network) place(address netip.AddrPort, side string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sides[address] = side
}

// Partition cuts the link between two segments until Heal: open connections no longer deliver data, and new
// ones fail.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := newPath(a, b)
	n.cuts[p] = true
	for c := range n.open {
		if c.path == p {
			c.freeze()
		}
	}
}

// Heal restores the link between two segments. It resets the silent connections of the link and all silent
// connections that the VMs have closed.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	p := newPath(a, b)
	delete(n.cuts, p)
	var ended []*pathConn
	for c := range n.open {
		if c.path == p && c.isFrozen() {
			ended = append(ended, c)
		}
	}
	ended = append(ended, n.frozen...)
	n.frozen = nil
	n.mu.Unlock()
	for _, c := range ended {
		c.reset()
	}
}

// SilenceConnections permanently stops the open connections to or from an address from delivering data or
// signalling a close. New connections are not affected.
func (n *Network) SilenceConnections(address netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.open {
		if c.from == address || c.to == address {
			c.freeze()
		}
	}
}

// ResetSilentConnections resets the silent connections that the VMs have closed, so that the remote ends can
// release them.
func (n *Network) ResetSilentConnections() {
	n.mu.Lock()
	ended := n.frozen
	n.frozen = nil
	n.mu.Unlock()
	for _, c := range ended {
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
		if n.isCut(from, to) {
			return nil, errors.Newf("%s is unreachable from %s", to, from)
		}
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.join(c, from, to)
	}
}

func (n *Network) isCut(from, to netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[newPath(n.sides[from], n.sides[to])]
}

// track wraps and registers a new connection. It fails if a partition began while the connection was opened.
func (n *Network) join(c net.Conn, from, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	pc := &pathConn{
		Conn: c, network: n, from: from, to: to, path: newPath(n.sides[from], n.sides[to]), closed: make(chan struct{}),
	}
	if n.cuts[pc.path] {
		_ = c.Close()
		return nil, errors.Newf("%s is unreachable from %s", to, from)
	}
	n.open[pc] = struct{}{}
	return pc, nil
}

// untrack removes a connection that the VM closes. It reports whether to close the underlying connection too,
// which would notify the remote end.
func (n *Network) leave(c *pathConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, c)
	if c.isFrozen() {
		n.frozen = append(n.frozen, c)
		return false
	}
	return true
}
