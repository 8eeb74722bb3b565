package hgreset

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// failTime is how long a read waits for the failure of a write, and holdTime how long that write takes to return.
	failTime = 300 * time.Millisecond
	holdTime = 100 * time.Millisecond
)

// Dial opens a connection on which a reset fails a write before it can fail a read, and that write returns after the reads are over.
func Dial(ctx context.Context, network, address string) (c net.Conn, err error) {
	c, err = (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, failed: make(chan struct{})}, c.(*net.TCPConn).SetWriteBuffer(bufferBytes)
}

type conn struct {
	net.Conn
	// answered says that a read has returned a part of the answer.
	answered bool
	failOnce sync.Once
	failed   chan struct{}
}

// SyscallConn gives access to the socket, as that of net.TCPConn does.
func (c *conn) SyscallConn() (raw syscall.RawConn, err error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// Read reads from the connection; behind the first part of the answer it waits until a write has failed.
func (c *conn) Read(p []byte) (n int, err error) {
	if c.answered {
		select {
		case <-c.failed:
		case <-time.After(failTime):
		}
	}
	n, err = c.Conn.Read(p)
	c.answered = c.answered || n > 0
	return n, err
}

// Write writes to the connection; one that fails returns late.
func (c *conn) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.failOnce.Do(func() { close(c.failed) })
		time.Sleep(holdTime)
	}
	return n, err
}
