package roundtrip

import (
	"net"
	"testing"
	"time"
)

// TestKernelRTT guards that an accepted connection has an estimate: without it answers are sent too late for
// clients that are far away.
func TestKernelRTT(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	got, ok := KernelRTT(c)
	if !ok || got <= 0 || got > time.Second {
		t.Errorf("got %v, %t, want a time on loopback", got, ok)
	}
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	if _, ok := KernelRTT(near); ok {
		t.Error("got a time for a pipe, want none")
	}
}
