package hgserver

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
)

// connKey is the context key of the connection that a request came on.
type connKey struct{}

// Server is an HTTP server; it is safe for concurrent use.
type Server struct {
	http     *http.Server
	log      *slog.Logger
	stopping atomic.Bool
}

// NewServer returns a server with the handler and the limits of cfg, whose hooks for connections it sets.
func NewServer(cfg *http.Server, log *slog.Logger) *Server {
	s := &Server{http: cfg, log: log}
	handler := cfg.Handler
	cfg.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.beginRequest()
		}
		handler.ServeHTTP(w, r)
	})
	cfg.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	cfg.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok && state == http.StateIdle {
			c.endRequest()
		}
	}
	return s
}

// Serve accepts and serves connections until the listener fails or the server is closed.
func (s *Server) Serve(l net.Listener) (err error) {
	return s.http.Serve(&listener{Listener: l, server: s})
}

// Shutdown closes the listener and all idle connections, and waits for the requests in progress until the context ends.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	s.stopping.Store(true)
	return s.http.Shutdown(ctx)
}

// Close closes the listener and all connections; requests in progress are cut off.
func (s *Server) Close() (err error) { return s.http.Close() }

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	server *Server
}

// Accept waits for a connection.
func (l *listener) Accept() (c net.Conn, err error) {
	if c, err = l.Listener.Accept(); err != nil {
		return nil, err
	}
	return newConn(c, l.server), nil
}

// Close closes the listener. Connections that wait to be accepted are reset by the system.
func (l *listener) Close() (err error) {
	if isReadable(l.Listener) {
		l.server.log.Warn("listener closed while a connection waited to be accepted", "address", l.Addr().String())
	}
	return l.Listener.Close()
}
