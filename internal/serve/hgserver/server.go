package hgserver

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"hyssopgrade/internal/serve/hgmemory"
)

// connKey is the context key of the connection that a request came on.
type connKey struct{}

// Server is an HTTP server; it is safe for concurrent use.
type Server struct {
	http *http.Server
	log  *slog.Logger
	// closing says that each answer announces the end of its connection, and stopping that Shutdown was called.
	closing, stopping atomic.Bool
	// serving counts the calls of Serve, and open the connections that are not closed.
	serving, open sync.WaitGroup

	// maxConns and account bound the connections and their memory; 0 and nil mean no bound. refused is called for each connection that is
	// closed because of them.
	maxConns int
	account  *hgmemory.Account
	refused  func(reason string)
	reports  reportLimit

	mu        sync.Mutex
	listeners []*listener
	conns     map[*conn]bool
}

// NewServer returns a server with the handler, the limits and the ConnContext of cfg, whose ConnState it sets.
func NewServer(cfg *http.Server, log *slog.Logger, opts ...Option) *Server {
	s := &Server{http: cfg, log: log, conns: map[*conn]bool{}, refused: func(string) {}}
	for _, opt := range opts {
		opt(s)
	}
	handler := cfg.Handler
	cfg.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			if !c.beginRequest(r) {
				panic(http.ErrAbortHandler)
			}
			var body *requestBody
			body, r = trackBody(r)
			defer func() { c.endHandler(body.ended) }()
		}
		if s.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	connContext := cfg.ConnContext
	cfg.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	cfg.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok && state == http.StateIdle {
			c.endRequest()
		}
	}
	return s
}

// Serve accepts and serves connections until the listener fails, or the server shuts down or is closed.
func (s *Server) Serve(tcp net.Listener) (err error) {
	l := &listener{Listener: tcp, server: s}
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.serving.Add(1)
	s.mu.Unlock()
	defer s.serving.Done()
	return s.http.Serve(l)
}

// AnnounceClose makes each answer to a request from now on announce that its connection ends. Quiet connections stay open.
func (s *Server) AnnounceClose() { s.closing.Store(true) }

// Shutdown accepts the connections that wait in the listeners' queues, closes the listeners, and serves each connection until it
// has no request. It returns once all connections are closed, or with an error when the context ends.
//
// It does not call the Shutdown of net/http, which drops the requests that it reads afterwards and closes connections whose next request has
// arrived.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	defer func() { err = trace.Wrap(err, "shut down") }()
	s.AnnounceClose()
	s.mu.Lock()
	s.stopping.Store(true)
	for _, l := range s.listeners {
		l.drain()
	}
	s.mu.Unlock()
	if err := wait(ctx, &s.serving); err != nil {
		return err
	}
	s.mu.Lock()
	for c := range s.conns {
		c.expire()
	}
	s.mu.Unlock()
	return wait(ctx, &s.open)
}

// wait waits for the group until the context ends.
func wait(ctx context.Context, group *sync.WaitGroup) error {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes the listeners and all connections; requests in progress are cut off.
func (s *Server) Close() (err error) { return s.http.Close() }

func (s *Server) removeConn(c *conn) {
	if c.claim != nil {
		c.claim.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[c] {
		delete(s.conns, c)
		s.open.Done()
	}
}
