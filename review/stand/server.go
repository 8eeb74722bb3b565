package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	silentBeats = 3
	// queueFactor is the number of requests that a server queues, as a multiple of its slots.
	queueFactor = 3
)

var (
	// heartbeat is the time between two reports of a server to the store, and silentBeats how many of them may be missing
	// until the platform removes its entry.
	heartbeat = 1200 * time.Millisecond
)

// run is a request that a server began to work on.
type run struct {
	Server, Service, Attempt, Program, Path, Body string
	At                                            time.Time
}

// serverKind is what the servers of a service have in common.
type serverKind struct {
	service string
	slots   int
	// tokensPerEvent is the number of tokens of each event of an engine; 0 for a plain service.
	tokensPerEvent int
	// work is the time of a plain request, and of each event of a stream.
	work time.Duration
}

// server is a stand-in for a replica: an engine that streams events, or a plain service.
type server struct {
	kind  serverKind
	zone  string
	store *store
	rec   *recorder

	mu      sync.Mutex
	id      string
	life    int
	born    int64
	srv     *http.Server
	conns   map[net.Conn]bool
	places  chan struct{}
	waiting int
	running map[string]run
	runs    []run
	// arrivals counts the requests that reached the server, also those that it refused, by attempt; peak is the largest number
	// that it worked on or queued at once since the last call of takePeak.
	arrivals map[string]int
	peak     int
	stop     context.CancelFunc
}

// newServer returns a server that is not started yet.
func newServer(k serverKind, zone string, s *store, rec *recorder) *server {
	return &server{kind: k, zone: zone, store: s, rec: rec}
}

// start begins a lifetime of the server: with a new id and address, and nothing in its memory.
func (s *server) start() (err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.life++
	s.id = fmt.Sprintf("i-%s-%s-%d", s.kind.service, s.zone, s.life)
	s.born = time.Now().UnixMilli()
	s.conns, s.running = map[net.Conn]bool{}, map[string]run{}
	s.places, s.waiting = make(chan struct{}, s.kind.slots), 0
	s.stop = cancel
	s.srv = &http.Server{Handler: s, ConnState: s.track}
	srv, id := s.srv, s.id
	s.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	go s.beat(ctx, id, l.Addr().String())
	s.rec.add("server %s starts at %s", id, l.Addr())
	return nil
}

func (s *server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// beat reports to the store until the lifetime ends. The platform removes the entry when enough reports are missing.
func (s *server) beat(ctx context.Context, id, address string) {
	registered := false
	for sequence := 1; ; sequence++ {
		entry := map[string]any{
			"service": s.kind.service, "address": address, "zone": s.zone, "version": "v1", "slots": s.kind.slots, "state": "ready",
			"cold_left_ms": 0, "sequence": sequence, "born": s.born,
		}
		if !registered && !s.store.isDown() {
			s.store.put("servers", id, entry)
			registered = true // the entry changes only when more than its sequence does
		}
		select {
		case <-ctx.Done():
			time.Sleep(silentBeats * heartbeat)
			s.store.remove("servers", id)
			return
		case <-time.After(heartbeat):
		}
	}
}

// crash ends the lifetime: all channels are reset and nothing is reported any more.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.say("server %s crashes with %d requests at work", s.id, len(s.running))
	s.stop()
	for c := range s.conns {
		resetConn(c)
	}
	go s.srv.Close()
}

// close ends the server at the end of a case.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.srv != nil {
		s.stop()
		_ = s.srv.Close()
	}
}

// atWork returns the requests that the server works on.
func (s *server) atWork() (runs []run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.running {
		runs = append(runs, r)
	}
	return runs
}

// allRuns returns the requests that the server has begun to work on, in all its lifetimes.
func (s *server) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

// takePeak returns the largest number of requests that the server worked on or queued at once since the last call.
func (s *server) takePeak() (peak int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	peak, s.peak = s.peak, 0
	return peak
}

// reachedBy reports whether a request of the attempt reached the server, be it that the server refused it.
func (s *server) reachedBy(attempt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals[attempt] > 0
}

// enter waits for a place. ok is false if the server is full or the time is over.
func (s *server) enter(ctx context.Context) (leave func(), ok bool) {
	s.mu.Lock()
	places := s.places
	if s.waiting >= queueFactor*s.kind.slots {
		s.mu.Unlock()
		return nil, false
	}
	s.waiting++
	s.peak = max(s.peak, s.waiting+len(s.running))
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case places <- struct{}{}:
		return func() { <-places }, true
	case <-ctx.Done():
		return nil, false
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	s.mu.Lock()
	if s.arrivals == nil {
		s.arrivals = map[string]int{}
	}
	s.arrivals[attempt]++
	id := s.id
	load := fmt.Sprintf("%d,%d,%d", len(s.running), s.waiting, s.kind.slots)
	s.mu.Unlock()
	h := w.Header()
	h.Set("X-Server-Load", load)
	if attempt != "" {
		h.Set("X-Attempt-Id", attempt)
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != id {
		h.Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx := r.Context()
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms*float64(time.Millisecond)))
		defer cancel()
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	leave, ok := s.enter(ctx)
	if !ok {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer leave()
	q := run{
		Server: id, Service: s.kind.service, Attempt: attempt, Program: r.Header.Get("X-Program-Id"), Path: r.URL.Path, Body: string(body), At: time.Now(),
	}
	s.begin(q)
	defer s.end(q)
	h.Set("X-Response-Seal", "seal-"+attempt)
	if s.kind.tokensPerEvent > 0 {
		s.stream(ctx, w, r)
		return
	}
	s.answer(ctx, w, q)
}

func (s *server) begin(q run) {
	s.rec.add("server %s begins %s %s program %q body of %d bytes", q.Server, q.Attempt, q.Path, q.Program, len(q.Body))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[q.Attempt] = q
	s.runs = append(s.runs, q)
}

func (s *server) end(q run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, q.Attempt)
}

// answer does the work of a plain request and answers it.
func (s *server) answer(ctx context.Context, w http.ResponseWriter, q run) {
	select {
	case <-time.After(s.kind.work):
	case <-ctx.Done():
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	_, _ = fmt.Fprintf(w, "done %s", q.Attempt)
}

// stream generates as many tokens as the request allows.
func (s *server) stream(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	_, most, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	tokens, err := strconv.Atoi(most)
	if err != nil {
		tokens = s.kind.tokensPerEvent
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	for i := 1; i*s.kind.tokensPerEvent <= tokens; i++ {
		select {
		case <-time.After(s.kind.work):
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: word%d\n\n", i, i); err != nil {
			return
		}
		if err := flush(); err != nil {
			return
		}
	}
}
