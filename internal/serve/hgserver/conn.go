package hgserver

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// lingerTime is how long a server that stops keeps a connection open after its accept or its last answer, as the client may be about
// to send a request.
const lingerTime = 500 * time.Millisecond

// conn is a connection of a client. It knows whether bytes of a request have come for which no handler was called.
type conn struct {
	net.Conn
	server *Server

	mu sync.Mutex
	// handling says that a handler serves a request of the connection.
	handling bool
	// received is the number of bytes of the next request that were read, and receivedAt when the last of them came; ahead is the
	// part of it that came while the request before was served.
	received, ahead int
	receivedAt      time.Time
	// headAt is when the first byte of the next request was read, and counted its share of the server's headBytes.
	headAt  time.Time
	counted int
	// usedAt is when the connection was accepted or last answered a request.
	usedAt time.Time
	// requests counts the requests that a handler was called for.
	requests int
	// ended says that the client has closed its direction.
	ended, closed bool
	// readDeadline is the deadline that net/http has set for reads.
	readDeadline time.Time
}

// beginRequest records that a handler was called for the request on the connection. A request that was read together with the one
// before counts only from here on, so that the deadline of the wait for it may still be set. It reports false if the server has closed the connection.
func (c *conn) beginRequest() (ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.handling = true
	c.requests++
	c.count(0)
	if !c.server.stopping.Load() {
		return true
	}
	if err := c.applyReadDeadline(); err != nil {
		c.server.log.Debug("connection already closed", "client", c.RemoteAddr().String(), "error", err)
	}
	return true
}

// endRequest records that the request was answered.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling, c.received, c.ahead = false, c.ahead, 0
	c.usedAt = time.Now()
}

// isQuiet reports whether no request is on the connection, as far as it was read; c.mu is held.
func (c *conn) isQuiet() bool { return !c.handling && c.received == 0 }

// expire ends a read that waits for a request, once the connection has been quiet for lingerTime.
func (c *conn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.applyReadDeadline(); err != nil {
		c.server.log.Debug("connection already closed", "client", c.RemoteAddr().String(), "error", err)
	}
}

// SetReadDeadline sets the deadline of reads; a quiet connection of a server that stops has an earlier one.
func (c *conn) SetReadDeadline(t time.Time) (err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.applyReadDeadline()
}

// applyReadDeadline sets the deadline that the state of the connection and of the server demand; c.mu is held.
func (c *conn) applyReadDeadline() error {
	t := c.readDeadline
	if end := c.usedAt.Add(lingerTime); c.server.stopping.Load() && c.isQuiet() && (t.IsZero() || end.Before(t)) {
		t = end
	}
	return c.Conn.SetReadDeadline(t)
}

// Read reads from the connection. A read that ends at its deadline while the connection is quiet returns what has arrived, so that the
// caller does not close a connection with a request on it.
func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	defer c.server.boundHeads()
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isQuiet() {
		n, err = readArrived(c.Conn, p, err)
	}
	c.ended = errors.Is(err, io.EOF)
	if n == 0 {
		return n, err
	}
	wasQuiet := c.isQuiet()
	c.received += n
	c.receivedAt = time.Now()
	if wasQuiet {
		c.headAt = c.receivedAt
	}
	if !c.handling {
		c.count(c.received)
	}
	// While a handler runs, net/http reads single bytes to notice that the client leaves. Such a byte is the first of the next request.
	if c.handling && len(p) == 1 {
		c.ahead = n
	}
	if wasQuiet && c.server.stopping.Load() {
		if err := c.applyReadDeadline(); err != nil {
			return n, err
		}
	}
	return n, err
}

// Write writes to the connection. What the server writes without a handler answers a malformed request.
func (c *conn) Write(p []byte) (n int, err error) {
	c.mu.Lock()
	if !c.handling {
		c.received = 0
		c.count(0)
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// SetLinger sets what Close does with unsent bytes, as net.TCPConn does, if the connection can do that.
func (c *conn) SetLinger(seconds int) (err error) {
	if w, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return w.SetLinger(seconds)
	}
	return nil
}

// CloseWrite closes the sending direction, if the connection can do that.
func (c *conn) CloseWrite() (err error) {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection. It logs bytes of a request that no handler has seen, read or still in the system's buffer.
func (c *conn) Close() (err error) {
	c.reportUnserved()
	defer c.server.removeConn(c)
	return c.Conn.Close()
}

func (c *conn) reportUnserved() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(0)
	if c.closed || c.handling || c.ended {
		return
	}
	c.closed = true
	unread := unreadBytes(c.Conn)
	if c.received == 0 && unread == 0 {
		return
	}
	omitted, ok := c.server.reports.take(time.Now())
	if !ok {
		return
	}
	args := []any{"client", c.RemoteAddr().String(), "requests", c.requests, "received", c.received, "unread", unread, "stopping", c.server.stopping.Load(), "omitted", omitted}
	if c.received > 0 {
		args = append(args, "sinceMs", time.Since(c.receivedAt).Milliseconds())
	}
	c.server.log.Warn("connection closed with an unanswered request", args...)
}
