package hgstandin

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Server is an HTTP server that can crash and restart at the same address.
type Server struct {
	handler http.Handler
	mu      sync.Mutex
	address string
	server  *http.Server
	closed  bool
}

// listen starts a server of the handler at the address.
func listen(address string, h http.Handler) (s *Server, err error) {
	s = &Server{handler: h, address: address}
	return s, s.start()
}

func (s *Server) start() (err error) {
	defer func() { err = trace.Wrap(err, "listen at %s", s.address) }()
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s.handler, ReadHeaderTimeout: time.Minute}
	go func(srv *http.Server) { _ = srv.Serve(l) }(s.server)
	return nil
}

// Address returns the host and port that the server listens at, also where port 0 was asked for.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// crash closes all connections and the listener, and starts the server again after the given time.
func (s *Server) crash(restart time.Duration) {
	s.mu.Lock()
	_ = s.server.Close()
	s.mu.Unlock()
	time.AfterFunc(restart, func() {
		s.mu.Lock()
		closed := s.closed
		s.mu.Unlock()
		if !closed {
			_ = s.start()
		}
	})
}

// Close stops the server for good: it closes all connections, and a pending restart after a crash doesn't happen.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.server.Close()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// readJSON decodes a body of at most 64 MiB. It answers a bad body with status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<20))
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
