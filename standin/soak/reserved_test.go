package soak

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"
)

// TestReservedPort guards against a crashed server whose port another process gets while its entry still stands, so that
// VMs take that process for the server, and against one that accepts connections.
func TestReservedPort(t *testing.T) {
	p, err := newProxy(netip.MustParseAddrPort("127.0.0.1:1"))
	if err != nil {
		t.Fatal(err)
	}
	address := p.address()
	if err := p.crash(); err != nil {
		t.Fatal(err)
	}
	if c, err := net.Dial("tcp", address.String()); err == nil {
		_ = c.Close()
		t.Error("got a connection, want it refused")
	}
	if l, err := listenExclusively(address.String()); err == nil {
		_ = l.Close()
		t.Error("got the port of a crashed server, want it in use")
	}
	p.close()
	l, err := listenExclusively(address.String())
	if err != nil {
		t.Fatalf("got %v, want the port to be free", err)
	}
	_ = l.Close()
}

// listenExclusively listens on an address that no other socket is bound to.
func listenExclusively(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) { optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0) })
		if err != nil {
			return err
		}
		return optErr
	}}
	return config.Listen(context.Background(), "tcp", address)
}
