package hgserver

import (
	"net"
	"sync"
	"time"
)

// Option configures a Server.
type Option func(s *Server)

// Reasons of connections that a server closes because of its bounds.
const (
	// RefusedConns means that there were too many connections: the one that was idle for longest is closed, or the new one if all serve
	// requests.
	RefusedConns = "conns_closed"
	// RefusedHeads means that the unfinished heads held too many bytes: the connection with the largest is closed.
	RefusedHeads = "heads_closed"
)

// WithMaxConns bounds the open connections, so that a crowd of them leaves descriptors for peers, replicas and the store. At the bound a
// new connection closes the one that has been idle for longest. 0 means no bound.
func WithMaxConns(n int) Option { return func(s *Server) { s.maxConns = n } }

// WithMaxHeadBytes bounds the bytes of all heads that are not complete yet. 0 means no bound.
func WithMaxHeadBytes(n int) Option { return func(s *Server) { s.maxHeadBytes = n } }

const (
	// PublicPart is the part of a machine's descriptors, one in PublicPart, for the connections of callers. Each of their requests may hold
	// one more connection to a replica or an endpoint; the rest is for peers, the store and files.
	PublicPart = 8.0 / 3
	// headShare is the share of a machine's memory for all heads that are not complete yet.
	headShare = 0.05
)

// Machine is what a process may use; 0 means no limit.
type Machine struct{ MemoryMB, Descriptors float64 }

// Conns returns the number of connections of a port that gets one in part of the descriptors; 0 if there is no limit.
func (m Machine) Conns(part float64) int {
	if m.Descriptors == 0 {
		return 0
	}
	return max(int(m.Descriptors/part), 1)
}

// WithMachine bounds the connections and the unfinished heads of a port by what the process may use.
func WithMachine(m Machine, part float64) Option {
	return func(s *Server) {
		WithMaxConns(m.Conns(part))(s)
		WithMaxHeadBytes(int(m.MemoryMB * (1 << 20) * headShare))(s)
	}
}

// WithRefused sets a function that is called with the reason of each connection that the server closes because of its bounds.
func WithRefused(f func(reason string)) Option { return func(s *Server) { s.refused = f } }

// addConn adds a connection. At the bound it closes another one, or closes the new one and returns nil.
func (s *Server) addConn(nc net.Conn) *conn {
	c := &conn{Conn: nc, server: s, usedAt: time.Now()}
	s.mu.Lock()
	var victim *conn
	isFull := s.maxConns > 0 && len(s.conns) >= s.maxConns
	if isFull {
		victim = s.longestIdle()
	}
	if !isFull || victim != nil {
		s.conns[c] = true
		s.open.Add(1)
	}
	s.mu.Unlock()
	if !isFull {
		return c
	}
	s.refused(RefusedConns)
	if victim != nil {
		victim.abort()
		return c
	}
	if err := nc.Close(); err != nil {
		s.log.Debug("connection already closed", "client", nc.RemoteAddr().String(), "error", err)
	}
	return nil
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

// boundHeads closes the connection with the largest unfinished head if all of them hold too many bytes.
func (s *Server) boundHeads() {
	if s.maxHeadBytes == 0 || s.headBytes.Load() <= int64(s.maxHeadBytes) {
		return
	}
	var victim *conn
	most := 0
	s.mu.Lock()
	for c := range s.conns {
		c.mu.Lock()
		if !c.handling && !c.closed && c.counted > most {
			victim, most = c, c.counted
		}
		c.mu.Unlock()
	}
	s.mu.Unlock()
	if victim != nil {
		s.refused(RefusedHeads)
		victim.abort()
	}
}

// count sets the connection's share of the bytes of unfinished heads; c.mu is held.
func (c *conn) count(n int) {
	c.server.headBytes.Add(int64(n - c.counted))
	c.counted = n
}

// abort closes the connection because of a bound, unless a request has begun on it, or has arrived on it since it was found idle.
func (c *conn) abort() {
	c.mu.Lock()
	if c.handling || c.received == 0 && unreadBytes(c.Conn) > 0 {
		c.mu.Unlock()
		return
	}
	c.closed = true
	c.count(0)
	c.mu.Unlock()
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
