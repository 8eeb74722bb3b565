package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgattempt"
	hgplatform "hyssopgrade/platform"
)

// replicas is a stand-in for all replicas of a site. It keeps the lengths of bodies instead of the bodies.
type replicas struct {
	mu sync.Mutex
	// reached maps attempts that ran to the length of their body, and offered holds those whose head reached a replica.
	reached map[string]int64
	offered map[string]bool
	// pause is how long a replica pauses while it reads a body longer than pauseBytes; 0 if it reads at once.
	pause time.Duration
}

// serveReplicas registers all replicas of the site at an address of their own each, which this stand-in serves.
func serveReplicas(s *stand) (r *replicas, err error) {
	r = &replicas{reached: map[string]int64{}, offered: map[string]bool{}}
	for id, e := range s.site.Replicas {
		l, err := listen(s.receiveBytes)
		if err != nil {
			return nil, err
		}
		e.Entry.Address = l.Addr().String()
		if err := s.site.Register(e.Entry); err != nil {
			return nil, err
		}
		srv := &http.Server{Handler: r.handler(id, e.Entry.Service == hgsite.Engines)}
		go func() { _ = srv.Serve(l) }()
	}
	return r, nil
}

func (r *replicas) handler(id string, streams bool) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		a, err := hgplatform.Dialect{}.DecodeAttempt(q.Header)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		answer := hgattempt.Answer{AttemptID: a.ID}
		if hgplatform.ExpectedReplica(q.Header) != id {
			hgplatform.EncodeAnswer(w.Header(), answer)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		r.mu.Lock()
		r.offered[a.ID] = true
		pause := r.pause
		r.mu.Unlock()
		n, err := readPaused(q.Body, pause)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.reached[a.ID] = n
		r.mu.Unlock()
		answer.Sealed = true
		hgplatform.EncodeAnswer(w.Header(), answer)
		if !streams {
			_, _ = io.WriteString(w, "done "+a.ID) // an error means that the VM has closed the connection
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= hgsite.Events; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, hgsite.Event(i)); err != nil {
				return
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
		}
	}
}

// listen listens on loopback. Its connections have a receive buffer, and with it a window, of a fixed size; 0 leaves that to the system.
func listen(receiveBytes int) (l net.Listener, err error) {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		if receiveBytes == 0 {
			return nil
		}
		controlErr := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes) })
		return errors.Join(controlErr, err)
	}}
	return cfg.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// pauseBytes is the part of a body that a slow replica reads before it pauses.
const pauseBytes = 16 << 10

// readPaused reads a body to its end, with one pause after pauseBytes.
func readPaused(body io.Reader, pause time.Duration) (n int64, err error) {
	n, err = io.CopyN(io.Discard, body, pauseBytes)
	if errors.Is(err, io.EOF) {
		return n, nil
	}
	if err != nil {
		return n, err
	}
	time.Sleep(pause)
	rest, err := io.Copy(io.Discard, body)
	return n + rest, err
}

// wasOffered reports whether the head of an attempt reached a replica.
func (r *replicas) wasOffered(attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.offered[attempt]
}

// setPause sets the pause of slow replicas.
func (r *replicas) setPause(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pause = d
}

// bodyOf returns the length of the body with which an attempt ran; ok is false if it reached no replica.
func (r *replicas) bodyOf(attempt string) (n int64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, ok = r.reached[attempt]
	return n, ok
}
