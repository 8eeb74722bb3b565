package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// replica is a sound replica: an engine that streams events, or a tool that answers with a plain body.
type replica struct {
	id, service, zone string
	slots, queue      int
	// events is the number of events of a stream; 0 is a tool. pause is the time before each event or answer.
	events int
	pause  time.Duration
	// count returns the events of a request; nil is events for each.
	count func(body []byte) int
	// began is called when a request begins to run, with its body.
	began func(r *http.Request, body []byte)

	rec      *record
	born     int64
	address  string
	srv      *http.Server
	places   chan struct{}
	mu       sync.Mutex
	inside   int
	sequence int
	leaving  bool
	endless  bool
}

func (p *replica) start(rec *record) (err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.rec, p.born, p.address, p.places = rec, time.Now().UnixMilli(), l.Addr().String(), make(chan struct{}, p.slots)
	p.srv = &http.Server{Handler: p}
	go func() { _ = p.srv.Serve(l) }()
	return nil
}

func (p *replica) close() {
	if p.srv != nil {
		p.srv.Close()
	}
}

// entry returns what the replica says of itself in the store.
func (p *replica) entry() map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	state := "ready"
	if p.leaving {
		state = "draining"
	}
	return map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots, "state": state, "cold_left_ms": 0,
		"stage": "both", "models": []any{}, "sequence": p.sequence, "born": p.born,
	}
}

// enter takes a place in the replica; it reports false if slots and queue are full.
func (p *replica) enter() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inside >= p.slots+p.queue {
		return false
	}
	p.inside++
	return true
}

func (p *replica) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inside--
}

func (p *replica) load() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	running := min(p.inside, p.slots)
	return fmt.Sprintf("%d,%d,%d", running, p.inside-running, p.slots)
}

// ServeHTTP runs one request.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", p.id)
		h.Set("X-Server-Load", p.load())
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	h.Set("X-Attempt-Id", id)
	h.Set("X-Server-Load", p.load())
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != p.id {
		h.Set("X-Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !p.enter() {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer p.leave()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case p.places <- struct{}{}:
		defer func() { <-p.places }()
	case <-r.Context().Done():
		return
	}
	p.rec.add("%s runs %s, body of %d bytes", p.id, id, len(body))
	if p.began != nil {
		p.began(r, body)
	}
	if p.isEndless() {
		p.sendEndless(w, id)
		return
	}
	h.Set("X-Response-Seal", "seal-"+id)
	if p.events == 0 {
		time.Sleep(p.pause)
		_, _ = fmt.Fprintf(w, "done %s", id) // an error means that the machine has left
		return
	}
	events := p.events
	if p.count != nil {
		events = p.count(body)
	}
	p.stream(w, r, events)
}

// stream sends the events after the one that the request names.
func (p *replica) stream(w http.ResponseWriter, r *http.Request, events int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	first := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	for i := first; i <= events; i++ {
		select {
		case <-time.After(p.pause):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: word%d\n\n", i, i); err != nil {
			return
		}
		if err := flush(); err != nil {
			return
		}
	}
}
