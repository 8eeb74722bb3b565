package hgserver

import (
	"io"
	"syscall"

	"golang.org/x/sys/unix"
)

// control calls f with the file descriptor of a socket, and reports whether there is one.
func control(socket any, f func(fd int)) bool {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// isReadable reports whether a connection waits in a listener's queue, or bytes or the end of the stream in a connection.
func isReadable(socket any) (readable bool) {
	control(socket, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		readable = err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
	})
	return readable
}

// unreadBytes returns the number of bytes that a connection has received and that were not read yet.
func unreadBytes(socket any) (n int) {
	control(socket, func(fd int) {
		if waiting, err := unix.IoctlGetInt(fd, unix.TIOCINQ); err == nil {
			n = waiting
		}
	})
	return n
}

// readArrived reads what a connection has received, without waiting. It returns waitErr if there is nothing.
func readArrived(socket any, p []byte, waitErr error) (n int, err error) {
	err = waitErr
	control(socket, func(fd int) {
		got, readErr := unix.Read(fd, p)
		switch {
		case readErr == nil && got > 0:
			n, err = got, nil
		case readErr == nil:
			err = io.EOF
		}
	})
	return n, err
}
