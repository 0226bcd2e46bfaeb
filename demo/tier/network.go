package tier

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/transport"
)

// PlatformSegment is the side of the platform in a partition; the others are the names of the zones.
const PlatformSegment = "platform"

// Network holds the paths between the sides of a tier and opens the connections of its VMs.
type Network struct {
	mu     sync.Mutex
	sides  map[netip.AddrPort]string
	cuts   map[path]bool
	frozen []*pathConn // closed by their owners while frozen; the other ends learn of it later
	open   map[*pathConn]struct{}
}

// path joins two sides, in the order of their names.
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

// place says on which side an address is.
func (n *Network) place(address netip.AddrPort, side string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sides[address] = side
}

// Partition separates two sides: open connections go silent and new ones are refused until Join.
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

// Heal ends a cut; the connections from before it are reset.
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

// SilenceConnections makes the open connections to or from an address neither deliver nor close, for good; new
// connections work.
func (n *Network) SilenceConnections(address netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.open {
		if c.from == address || c.to == address {
			c.freeze()
		}
	}
}

// ResetSilentConnections resets the connections that went silent, once nothing depends on them any more.
func (n *Network) ResetSilentConnections() {
	n.mu.Lock()
	ended := n.frozen
	n.frozen = nil
	n.mu.Unlock()
	for _, c := range ended {
		c.reset()
	}
}

// dialFrom returns how the VM with an address opens connections.
func (n *Network) dialFrom(from netip.AddrPort) transport.DialFunc {
	dialer := &net.Dialer{}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, errors.Wrap(err, "parse address")
		}
		if n.isCut(from, to) {
			return nil, errors.Newf("%s cannot be reached from %s", to, from)
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

// join follows a new connection, unless the path was cut while it was opened.
func (n *Network) join(c net.Conn, from, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	pc := &pathConn{
		Conn: c, network: n, from: from, to: to, path: newPath(n.sides[from], n.sides[to]), closed: make(chan struct{}),
	}
	if n.cuts[pc.path] {
		_ = c.Close()
		return nil, errors.Newf("%s cannot be reached from %s", to, from)
	}
	n.open[pc] = struct{}{}
	return pc, nil
}

// leave forgets a connection that its owner has closed; it reports whether the other end may learn of it.
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
