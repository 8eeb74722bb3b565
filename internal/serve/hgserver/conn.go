package hgserver

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"hyssopgrade/internal/serve/hgmemory"
)

// lingerTime is how long a server that stops keeps a connection open after its accept or its last answer, as the client may be about
// to send a request.
const lingerTime = 500 * time.Millisecond

// conn is a connection of a client. It knows whether bytes of a request have come for which no handler was called.
type conn struct {
	net.Conn
	server *Server
	// claim is what the connection and the heads of its requests hold of the server's memory; nil if that has no bound.
	claim *hgmemory.Claim

	mu sync.Mutex
	// handling says that a handler serves a request of the connection.
	handling bool
	// received is the number of bytes of the next request that were read, and receivedAt when the last of them came; ahead is the
	// part of it that came while the request before was served.
	received, ahead int
	receivedAt      time.Time
	// headAt is when the first byte of the next request was read, and head what its head takes so far.
	headAt time.Time
	head   headCost
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
// before counts only from here on, so that the deadline of the wait for it may still be set. It reports false if the server has closed the
// connection, or has to as the head needs more memory than is left.
func (c *conn) beginRequest(r *http.Request) (ok bool) {
	if !c.markHandling() {
		return false
	}
	if c.claim == nil {
		return true
	}
	if err := c.claim.Hold(ConnBytes + requestBytes + costOf(r)); err != nil {
		c.server.refused(RefusedHeads)
		return false
	}
	return true
}

// markHandling records that a handler serves a request. It reports false if the server has closed the connection.
func (c *conn) markHandling() (ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.handling = true
	c.requests++
	if !c.server.stopping.Load() {
		return true
	}
	if err := c.applyReadDeadline(); err != nil {
		c.server.log.Debug("connection already closed", "client", c.RemoteAddr().String(), "error", err)
	}
	return true
}

// endHandler records that the handler has returned, and whether the body was read to its end. If it was, a connection that closes stays open
// for a moment without its request. If not, net/http waits for the rest of the body with the request in memory.
func (c *conn) endHandler(bodyEnded bool) {
	if !bodyEnded {
		if err := c.SetReadDeadline(time.Now().Add(quietTime)); err != nil {
			c.server.log.Debug("connection already closed", "client", c.RemoteAddr().String(), "error", err)
		}
		return
	}
	if c.claim != nil {
		_ = c.claim.Hold(ConnBytes) // a smaller charge always fits
	}
}

// endRequest records that the request was answered.
func (c *conn) endRequest() {
	c.mu.Lock()
	c.handling, c.received, c.ahead = false, c.ahead, 0
	c.usedAt = time.Now()
	c.head = headCost{}
	c.mu.Unlock()
	if c.claim != nil {
		c.claim.Release(ConnBytes)
	}
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
	c.mu.Lock()
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isQuiet() {
		n, err = readArrived(c.Conn, p, err)
	}
	c.ended = errors.Is(err, io.EOF)
	if n > 0 {
		if recordErr := c.recordRead(p[:n], len(p)); recordErr != nil {
			err = recordErr
		}
	}
	inHead := n > 0 && !c.handling
	held := ConnBytes + requestBytes + c.head.bytes
	c.mu.Unlock()
	if !inHead || c.claim == nil {
		return n, err
	}
	if err := c.claim.Receive(held); err != nil {
		c.abort(RefusedHeads)
		return 0, net.ErrClosed
	}
	return n, err
}

// recordRead records bytes that were read into a buffer of the given size; c.mu is held.
func (c *conn) recordRead(p []byte, size int) (err error) {
	wasQuiet := c.isQuiet()
	c.received += len(p)
	c.receivedAt = time.Now()
	if wasQuiet {
		c.headAt = c.receivedAt
	}
	if !c.handling {
		c.head.add(p)
	}
	// While a handler runs, net/http reads single bytes to notice that the client leaves. Such a byte is the first of the next request.
	if c.handling && size == 1 {
		c.ahead = len(p)
	}
	if wasQuiet && c.server.stopping.Load() {
		return c.applyReadDeadline()
	}
	return nil
}

// Write writes to the connection. What the server writes without a handler answers a malformed request.
func (c *conn) Write(p []byte) (n int, err error) {
	c.mu.Lock()
	if !c.handling {
		c.received = 0
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
