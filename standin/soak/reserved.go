package soak

import (
	"net/netip"
	"syscall"

	"github.com/cockroachdb/errors"
)

// reservedPort is a port that refuses connections and that no other process gets. The entry of a crashed server stands
// for a while, and a VM would otherwise take whichever process gets the port for the server.
type reservedPort struct {
	fd int
}

// reservePort reserves the port of a listener that has been closed. The address must be an IPv4 address.
func reservePort(address netip.AddrPort) (*reservedPort, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "open a socket")
	}
	// Connections of the closed listener may not have ended yet. A port that is bound and does not listen is still left
	// out when the kernel chooses a free one.
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()})
	}
	if err != nil {
		_ = syscall.Close(fd) // nothing was sent on it
		return nil, errors.Wrapf(err, "reserve %s", address)
	}
	return &reservedPort{fd}, nil
}

// release frees the port. It must be called once.
func (r *reservedPort) release() {
	_ = syscall.Close(r.fd) // nothing was sent on it
}
