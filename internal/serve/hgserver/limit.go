package hgserver

import (
	"context"
	"net"
	"sync"
	"time"

	"hyssopgrade/internal/serve/hgmemory"
)

// Option configures a Server.
type Option func(s *Server)

// Reasons of connections that a server closes because of its bounds.
const (
	// RefusedConns means that there were too many connections: the one that was idle for longest is closed, or the new one if all serve
	// requests.
	RefusedConns = "conns_closed"
	// RefusedHeads means that a head was unfinished, or just complete, when the memory for requests was used up: its connection is closed.
	RefusedHeads = "heads_closed"
	// RefusedMemory means that the memory for requests was used up: the connection that was idle for longest is closed, or the new one if
	// all hold requests.
	RefusedMemory = "memory_closed"
)

// WithMaxConns bounds the open connections, so that a crowd of them leaves descriptors for peers, replicas and the store. At the bound a
// new connection closes the one that has been idle for longest. 0 means no bound.
func WithMaxConns(n int) Option { return func(s *Server) { s.maxConns = n } }

// WithAccount sets the account that the connections and the heads of their requests are charged to; nil means no bound. The claim of a
// request's connection is found with Claim.
func WithAccount(a *hgmemory.Account) Option { return func(s *Server) { s.account = a } }

// Claim returns what the connection of a request with this context holds; nil if its server has no account.
func Claim(ctx context.Context) *hgmemory.Claim {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		return c.claim
	}
	return nil
}

// PublicPart is the part of a machine's descriptors, one in PublicPart, for the connections of callers. Each of their requests may hold
// one more connection to a replica or an endpoint; the rest is for peers, the store and files.
const PublicPart = 8.0 / 3

// Conns returns the number of connections of a port that gets one in part of the descriptors of a machine; 0 if that sets no limit.
func Conns(descriptors, part float64) int {
	if descriptors == 0 {
		return 0
	}
	return max(int(descriptors/part), 1)
}

// WithRefused sets a function that is called with the reason of each connection that the server closes because of its bounds.
func WithRefused(f func(reason string)) Option { return func(s *Server) { s.refused = f } }

// addConn adds a connection. At a bound it closes another one, or closes the new one and returns nil.
func (s *Server) addConn(nc net.Conn) *conn {
	c := &conn{Conn: nc, server: s, usedAt: time.Now()}
	reason := RefusedMemory
	if s.claimFor(c) {
		reason = RefusedConns
		if s.admit(c) {
			return c
		}
	}
	s.refused(reason)
	if err := nc.Close(); err != nil {
		s.log.Debug("connection already closed", "client", nc.RemoteAddr().String(), "error", err)
	}
	if c.claim != nil {
		c.claim.Close()
	}
	return nil
}

// claimFor sets the claim of a new connection and reports whether the account has the memory for it.
func (s *Server) claimFor(c *conn) (ok bool) {
	if s.account == nil {
		return true
	}
	c.mu.Lock() // the connection may have to give way before its claim is set
	defer c.mu.Unlock()
	claim, err := s.account.OpenConn(ConnBytes, func() { c.abort(RefusedMemory) })
	c.claim = claim
	return err == nil
}

// admit adds a connection unless there are too many, none of which can be closed.
func (s *Server) admit(c *conn) (ok bool) {
	s.mu.Lock()
	var victim *conn
	isFull := s.maxConns > 0 && len(s.conns) >= s.maxConns
	if isFull {
		victim = s.longestIdle()
	}
	ok = !isFull || victim != nil
	if ok {
		s.conns[c] = true
		s.open.Add(1)
	}
	s.mu.Unlock()
	if victim != nil {
		victim.abort(RefusedConns)
	}
	return ok
}

// longestIdle returns the connection that has been without a request for longest, or else the one whose head is unfinished for longest;
// nil if all serve requests. s.mu is held.
func (s *Server) longestIdle() (victim *conn) {
	var idle, inHead *conn
	var idleAt, headAt time.Time
	for c := range s.conns {
		c.mu.Lock()
		switch {
		case c.handling || c.closed:
		case c.received > 0:
			if inHead == nil || c.headAt.Before(headAt) {
				inHead, headAt = c, c.headAt
			}
		case idle == nil || c.usedAt.Before(idleAt):
			// A request that has arrived and was not read yet must not be lost.
			if unreadBytes(c.Conn) == 0 {
				idle, idleAt = c, c.usedAt
			}
		}
		c.mu.Unlock()
	}
	if idle != nil {
		return idle
	}
	return inHead
}

// abort closes the connection because of a bound, unless a request has begun on it, or has arrived on it since it was found idle.
func (c *conn) abort(reason string) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	if c.handling || c.received == 0 && unreadBytes(c.Conn) > 0 {
		c.mu.Unlock()
		if c.claim != nil {
			c.claim.Keep()
		}
		return
	}
	if reason == RefusedMemory && c.received > 0 {
		reason = RefusedHeads
	}
	c.closed = true
	c.mu.Unlock()
	c.server.refused(reason)
	if err := c.Conn.Close(); err != nil {
		c.server.log.Debug("connection already closed", "client", c.RemoteAddr().String(), "error", err)
	}
	c.server.removeConn(c)
}

const (
	// reportPeriod and reportsPerPeriod bound the log lines about connections that are closed with an unanswered request: clients cause
	// them at any rate.
	reportPeriod     = time.Second
	reportsPerPeriod = 20
)

// reportLimit bounds the log lines about single connections.
type reportLimit struct {
	mu             sync.Mutex
	began          time.Time
	count, omitted int
}

// take reports whether a line may be logged, and how many were not since the last one.
func (l *reportLimit) take(now time.Time) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.began) >= reportPeriod {
		l.began, l.count = now, 0
	}
	if l.count++; l.count > reportsPerPeriod {
		l.omitted++
		return 0, false
	}
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}
