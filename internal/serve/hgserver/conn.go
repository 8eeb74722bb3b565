package hgserver

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// conn is a connection of a client. It knows whether bytes of a request have come for which no handler was called.
type conn struct {
	net.Conn
	server *Server

	mu sync.Mutex
	// handling says that a handler serves a request of the connection.
	handling bool
	// received is the number of bytes read since the last answer, and receivedAt when the last of them came.
	received   int
	receivedAt time.Time
	// requests counts the requests that a handler was called for.
	requests int
	// ended says that the client has closed its direction.
	ended, closed bool
}

func newConn(c net.Conn, s *Server) *conn { return &conn{Conn: c, server: s} }

// beginRequest records that a handler was called for the request on the connection.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = true
	c.requests++
}

// endRequest records that the request was answered.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling, c.received = false, 0
}

// Read reads from the connection and records what came.
func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = errors.Is(err, io.EOF)
	if n > 0 {
		c.received += n
		c.receivedAt = time.Now()
	}
	return n, err
}

// Write writes to the connection. What the server writes by itself answers a malformed request.
func (c *conn) Write(p []byte) (n int, err error) {
	c.mu.Lock()
	if !c.handling {
		c.received = 0
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
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
	return c.Conn.Close()
}

func (c *conn) reportUnserved() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.handling || c.ended {
		return
	}
	c.closed = true
	unread := unreadBytes(c.Conn)
	if c.received == 0 && unread == 0 {
		return
	}
	args := []any{"client", c.RemoteAddr().String(), "requests", c.requests, "received", c.received, "unread", unread, "stopping", c.server.stopping.Load()}
	if c.received > 0 {
		args = append(args, "sinceMs", time.Since(c.receivedAt).Milliseconds())
	}
	c.server.log.Warn("connection closed with an unanswered request", args...)
}
