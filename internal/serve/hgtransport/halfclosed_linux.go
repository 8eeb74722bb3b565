package hgtransport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// isHalfClosed reports whether the peer has closed its side in order and takes further bytes. It is false if that can't be told.
func isHalfClosed(c net.Conn) (halfClosed bool) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		halfClosed = infoErr == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return err == nil && halfClosed
}
