package hginner

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgquarantine"
	"hyssopgrade/internal/operate/hgkey"
	"hyssopgrade/internal/serve/hgowner"
)

// Node is what a node does for its peers.
type Node interface {
	// Beat takes a peer's heartbeat and answers with this node's.
	Beat(b Beat) Beat
	// Preset returns the version that the node applies.
	Preset() PresetReply
	// Suspect takes a suspect that an endpoint died under.
	Suspect(s hgquarantine.Suspect)
	// EnterTurn tells whether a copy of a request may run now.
	EnterTurn(t Turn) (ok bool)
	// LeaveTurn takes the end of a copy.
	LeaveTurn(t Turn)
	// Nudge tells that shard rows have changed.
	Nudge()
	// Serve runs a call of a shard that this node owns; the error is a *hgowner.NotOwner or a *hgcall.Refusal.
	Serve(ctx context.Context, c hgcall.Call, out hgowner.Sink) (r hgcall.Result, err error)
	// End ends a program of a shard that this node owns, with the same errors.
	End(ctx context.Context, program string) (err error)
	// Query answers a question about a program of a shard that this node owns, with the same errors.
	Query(q Query) (a Answer, err error)
}

// Query asks about a program.
type Query struct {
	Program string `json:"program"`
	History bool   `json:"history"`
}

// Answer is the answer to a Query.
type Answer struct {
	Status  *hgowner.ProgramStatus `json:"status,omitempty"`
	History []hgcall.Message       `json:"history,omitempty"`
}

// Limits of the inner port.
const (
	maxRPCConns     = 128
	maxConcurrent   = 64
	maxForwardBytes = 32 << 20
	connected       = "200 connected to hyssopgrade"
)

// errBusy refuses a control message when too many are in progress.
var errBusy = trace.LimitExceeded("too many control messages in progress")

// service is the net/rpc receiver.
type service struct {
	node  Node
	slots chan struct{}
}

func (s *service) guard(fn func()) (err error) {
	select {
	case s.slots <- struct{}{}:
	default:
		return errBusy
	}
	defer func() { <-s.slots }()
	fn()
	return nil
}

// Beat answers a heartbeat.
func (s *service) Beat(b Beat, reply *Beat) (err error) {
	return s.guard(func() { *reply = s.node.Beat(b) })
}

// Preset returns the preset in force.
func (s *service) Preset(_ Empty, reply *PresetReply) (err error) {
	return s.guard(func() { *reply = s.node.Preset() })
}

// Suspect takes a suspect.
func (s *service) Suspect(q hgquarantine.Suspect, _ *Empty) (err error) {
	return s.guard(func() { s.node.Suspect(q) })
}

// Enter answers whether a copy of a request may run.
func (s *service) Enter(t Turn, reply *TurnReply) (err error) {
	return s.guard(func() { reply.OK = s.node.EnterTurn(t) })
}

// Leave takes the end of a copy.
func (s *service) Leave(t Turn, _ *Empty) (err error) {
	return s.guard(func() { s.node.LeaveTurn(t) })
}

// Nudge tells that shard rows have changed.
func (s *service) Nudge(_ Empty, _ *Empty) (err error) {
	return s.guard(s.node.Nudge)
}

// Server serves a node's inner port.
type Server struct {
	node  Node
	key   hgkey.Key
	rpc   *rpc.Server
	log   *slog.Logger
	slots chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewServer returns the handler of a node's inner port.
func NewServer(node Node, key string, log *slog.Logger) (s *Server, err error) {
	s = &Server{
		node: node, key: hgkey.NewKey(key), rpc: rpc.NewServer(), log: log,
		slots: make(chan struct{}, maxRPCConns), conns: map[net.Conn]bool{},
	}
	err = s.rpc.RegisterName("Inner", &service{node: node, slots: make(chan struct{}, maxConcurrent)})
	return s, trace.Wrap(err)
}

// ServeHTTP serves the holders of the cell's key.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.key.Allows(r.Header) {
		s.log.Warn("inner request without the key", "remote", r.RemoteAddr, "path", r.URL.Path)
		http.Error(w, "want the cell's key", http.StatusUnauthorized)
		return
	}
	switch r.URL.Path {
	case "/inner/rpc":
		s.serveRPC(w)
	case "/inner/call":
		s.serveCall(w, r)
	case "/inner/end":
		s.serveEnd(w, r)
	case "/inner/query":
		s.serveQuery(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) serveRPC(w http.ResponseWriter) {
	select {
	case s.slots <- struct{}{}:
	default:
		http.Error(w, "too many connections", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.track(conn, true)
	defer s.track(conn, false)
	_ = conn.SetDeadline(time.Time{})
	if _, err := io.WriteString(conn, "HTTP/1.0 "+connected+"\n\n"); err != nil {
		return
	}
	s.rpc.ServeConn(conn)
}

func (s *Server) track(conn net.Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.conns[conn] = true
		return
	}
	delete(s.conns, conn)
	_ = conn.Close()
}

// Close closes the control connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// frames is a Sink that writes frames to a peer.
type frames struct {
	w   http.ResponseWriter
	enc *json.Encoder
	ctl *http.ResponseController
}

func newFrames(w http.ResponseWriter) *frames {
	w.Header().Set("Content-Type", "application/x-ndjson")
	return &frames{w: w, enc: json.NewEncoder(w), ctl: http.NewResponseController(w)}
}

// Piece sends one piece.
func (f *frames) Piece(text string) (err error) {
	if err := f.enc.Encode(Frame{Piece: text}); err != nil {
		return err
	}
	return f.ctl.Flush()
}

// end sends the last frame.
func (f *frames) end(r hgcall.Result, err error) {
	var other *hgowner.NotOwner
	switch {
	case errors.As(err, &other):
		_ = f.enc.Encode(Frame{NotOwner: true})
	case err != nil:
		_ = f.enc.Encode(Frame{Refusal: hgcall.AsRefusal(err)})
	default:
		_ = f.enc.Encode(Frame{Result: &r})
	}
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	var c hgcall.Call
	if !readJSON(w, r, &c) {
		return
	}
	f := newFrames(w)
	var out hgowner.Sink
	if r.Header.Get("X-Stream") != "" {
		out = f
	}
	f.end(s.node.Serve(r.Context(), c, out))
}

func (s *Server) serveEnd(w http.ResponseWriter, r *http.Request) {
	var q Query
	if readJSON(w, r, &q) {
		newFrames(w).end(hgcall.Result{State: hgcall.Done}, s.node.End(r.Context(), q.Program))
	}
}

func (s *Server) serveQuery(w http.ResponseWriter, r *http.Request) {
	var q Query
	if !readJSON(w, r, &q) {
		return
	}
	a, err := s.node.Query(q)
	if err != nil {
		newFrames(w).end(hgcall.Result{}, err)
		return
	}
	data, err := json.Marshal(a)
	newFrames(w).end(hgcall.Result{State: hgcall.Done, Answer: data}, err)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxForwardBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
