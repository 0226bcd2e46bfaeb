// Package roundtrip tells how long a packet takes to the other end of a connection and back.
package roundtrip

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// KernelRTT returns the kernel's estimate for a TCP connection; false if it has none.
func KernelRTT(c net.Conn) (time.Duration, bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil || info.Rtt == 0 {
		return 0, false
	}
	return time.Duration(info.Rtt) * time.Microsecond, true
}
