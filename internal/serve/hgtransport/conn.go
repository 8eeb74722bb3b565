package hgtransport

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// conn is a connection whose reads return io.EOF only if the peer has closed its side in order. The system reports the reset or timeout of
// a connection once: after a write that has got it, reads return what has arrived and then io.EOF.
type conn struct {
	net.Conn
	// received is the number of bytes that were read since the last request began.
	received atomic.Int64

	// writing is held during a write.
	writing sync.Mutex
	// failure is the error by which a write has learnt that the connection was lost; nil if none has.
	failure error
}

// Read reads from the connection. At its end it may wait for a write under way, which returns at once if the connection was lost.
func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.received.Add(int64(n))
	if err != io.EOF || isHalfClosed(c.Conn) {
		return n, err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failure != nil {
		return n, c.failure
	}
	return n, io.EOF
}

// Write writes to the connection.
func (c *conn) Write(p []byte) (n int, err error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err = c.Conn.Write(p)
	// A peer that resets the connection after it has closed its side in order has sent all of its bytes before; the system then reports
	// EPIPE instead of ECONNRESET.
	if err != nil && c.failure == nil && !errors.Is(err, syscall.EPIPE) {
		c.failure = err
	}
	return n, err
}
