package hgnoderpc

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

// Node handles the requests of other nodes of the cell.
type Node interface {
	// Beat processes a peer's heartbeat and returns this node's.
	Beat(b Beat) Beat
	// Preset returns the version of the preset that the node applies.
	Preset() PresetReply
	// Suspect records a request that was running when an endpoint died, or its clearing.
	Suspect(s hgquarantine.Suspect)
	// EnterTurn reports whether a copy of a request may run now.
	EnterTurn(t Turn) (ok bool)
	// LeaveTurn records that a copy of a request has ended.
	LeaveTurn(t Turn)
	// Nudge makes the node read the shard rows, because they have changed.
	Nudge()
	// Serve runs a call of a shard that this node owns; the error is a *hgowner.NotOwner or a *hgcall.Refusal.
	Serve(ctx context.Context, c hgcall.Call, out hgowner.Sink) (r hgcall.Result, err error)
	// End ends a program of a shard that this node owns; it returns the same errors as Serve.
	End(ctx context.Context, program string) (err error)
	// Query returns the status or the history of a program of a shard that this node owns; it returns the same errors as Serve.
	Query(q Query) (a Answer, err error)
}

// Query asks for the status of a program, or with History for its conversation. It also names the program to end.
type Query struct {
	Program string `json:"program"`
	History bool   `json:"history"`
}

// Answer is the answer to a Query; it has one of the two fields.
type Answer struct {
	Status  *hgowner.ProgramStatus `json:"status,omitempty"`
	History []hgcall.Message       `json:"history,omitempty"`
}

// Limits of the inner port, and the status line of an accepted control connection.
const (
	// maxRPCConns and maxControlCalls limit the control connections and the control messages in progress.
	maxRPCConns     = 128
	maxControlCalls = 64
	// maxForwardBytes limits the body of a forwarded request.
	maxForwardBytes = 32 << 20
	connectedStatus = "200 connected to hyssopgrade"
)

// errBusy rejects a control message while maxControlCalls others are in progress. Its text is sent to the peer.
var errBusy = trace.LimitExceeded("too many control messages in progress")

// service is the net/rpc receiver; its methods are called by peers as "Inner.Beat" and so on.
type service struct {
	node  Node
	slots chan struct{}
}

// withSlot runs fn unless too many control messages are in progress.
func (s *service) withSlot(fn func()) (err error) {
	select {
	case s.slots <- struct{}{}:
	default:
		return errBusy
	}
	defer func() { <-s.slots }()
	fn()
	return nil
}

// Beat processes a heartbeat and replies with this node's.
func (s *service) Beat(b Beat, reply *Beat) (err error) {
	return s.withSlot(func() { *reply = s.node.Beat(b) })
}

// Preset replies with the version of the preset that the node applies.
func (s *service) Preset(_ Empty, reply *PresetReply) (err error) {
	return s.withSlot(func() { *reply = s.node.Preset() })
}

// Suspect records a suspect request.
func (s *service) Suspect(q hgquarantine.Suspect, _ *Empty) (err error) {
	return s.withSlot(func() { s.node.Suspect(q) })
}

// Enter replies whether a copy of a request may run now.
func (s *service) Enter(t Turn, reply *TurnReply) (err error) {
	return s.withSlot(func() { reply.OK = s.node.EnterTurn(t) })
}

// Leave records that a copy of a request has ended.
func (s *service) Leave(t Turn, _ *Empty) (err error) {
	return s.withSlot(func() { s.node.LeaveTurn(t) })
}

// Nudge makes the node read the shard rows.
func (s *service) Nudge(_ Empty, _ *Empty) (err error) {
	return s.withSlot(s.node.Nudge)
}

// Server is the HTTP handler of a node's inner port.
type Server struct {
	node  Node
	key   hgkey.Key
	rpc   *rpc.Server
	log   *slog.Logger
	slots chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewServer returns the handler of a node's inner port; requests must carry the key.
func NewServer(node Node, key string, log *slog.Logger) (s *Server, err error) {
	s = &Server{
		node: node, key: hgkey.NewKey(key), rpc: rpc.NewServer(), log: log,
		slots: make(chan struct{}, maxRPCConns), conns: map[net.Conn]bool{},
	}
	err = s.rpc.RegisterName("Inner", &service{node: node, slots: make(chan struct{}, maxControlCalls)})
	return s, trace.Wrap(err)
}

// ServeHTTP serves requests that carry the cell's key and rejects all others.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.key.Allows(r.Header) {
		s.log.Warn("rejected a request to the inner port without the cell's key", "remote", r.RemoteAddr, "path", r.URL.Path)
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

// serveRPC turns the HTTP connection into a net/rpc connection and serves it until it closes.
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
	s.trackConn(conn, true)
	defer s.trackConn(conn, false)
	_ = conn.SetDeadline(time.Time{})
	if _, err := io.WriteString(conn, "HTTP/1.0 "+connectedStatus+"\n\n"); err != nil {
		return
	}
	s.rpc.ServeConn(conn)
}

// trackConn records an open control connection for Close, or closes it and removes the record.
func (s *Server) trackConn(conn net.Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.conns[conn] = true
		return
	}
	delete(s.conns, conn)
	_ = conn.Close()
}

// Close closes the control connections, which the HTTP server no longer tracks.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// frameWriter writes the answer to a forwarded request as JSON lines; it is a hgowner.Sink.
type frameWriter struct {
	w   http.ResponseWriter
	enc *json.Encoder
	ctl *http.ResponseController
}

func newFrameWriter(w http.ResponseWriter) *frameWriter {
	w.Header().Set("Content-Type", "application/x-ndjson")
	return &frameWriter{w: w, enc: json.NewEncoder(w), ctl: http.NewResponseController(w)}
}

// Piece sends one piece of output at once.
func (f *frameWriter) Piece(text string) (err error) {
	if err := f.enc.Encode(Frame{Piece: text}); err != nil {
		return err
	}
	return f.ctl.Flush()
}

// finish sends the last frame: the result or the error.
func (f *frameWriter) finish(r hgcall.Result, err error) {
	var notOwner *hgowner.NotOwner
	switch {
	case errors.As(err, &notOwner):
		_ = f.enc.Encode(Frame{NotOwner: true})
	case err != nil:
		_ = f.enc.Encode(Frame{Refusal: hgcall.AsRefusal(err)})
	default:
		_ = f.enc.Encode(Frame{Result: &r})
	}
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	var c hgcall.Call
	if !decodeRequest(w, r, &c) {
		return
	}
	f := newFrameWriter(w)
	var out hgowner.Sink
	if r.Header.Get("X-Stream") != "" {
		out = f
	}
	f.finish(s.node.Serve(r.Context(), c, out))
}

func (s *Server) serveEnd(w http.ResponseWriter, r *http.Request) {
	var q Query
	if decodeRequest(w, r, &q) {
		newFrameWriter(w).finish(hgcall.Result{State: hgcall.Done}, s.node.End(r.Context(), q.Program))
	}
}

func (s *Server) serveQuery(w http.ResponseWriter, r *http.Request) {
	var q Query
	if !decodeRequest(w, r, &q) {
		return
	}
	a, err := s.node.Query(q)
	if err != nil {
		newFrameWriter(w).finish(hgcall.Result{}, err)
		return
	}
	data, err := json.Marshal(a)
	newFrameWriter(w).finish(hgcall.Result{State: hgcall.Done, Answer: data}, err)
}

// decodeRequest decodes the body into v; on failure it answers the request and returns false.
func decodeRequest(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxForwardBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
