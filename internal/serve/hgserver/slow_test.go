package hgserver_test

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/serve/hgserver"
)

// newPausingSite returns a site that serves /slow until release is closed, and all else for the given time, unless the request's context ends.
func newPausingSite(t *testing.T, took time.Duration) *site {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &site{listener: &gatedListener{TCPListener: l.(*net.TCPListener)}, log: &lockedBuffer{}, release: make(chan struct{}), done: make(chan error, 1)}
	cfg := &http.Server{ReadHeaderTimeout: 30 * time.Second, IdleTimeout: 5 * time.Minute}
	cfg.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		w.WriteHeader(http.StatusOK)
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		if r.URL.Path == "/slow" {
			<-s.release
		} else {
			select {
			case <-time.After(took):
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
		fmt.Fprint(w, r.URL.Path, " body")
	})
	s.server = hgserver.NewServer(cfg, slog.New(slog.NewTextHandler(s.log, nil)))
	go func() { _ = s.server.Serve(s.listener) }()
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

// A pipelined request must not be cut by the deadline of a stop's wait for further requests.
func TestPipelinedRequestIsNotCutByShutdown(t *testing.T) {
	const withoutBody = "GET /next HTTP/1.1\r\nHost: site.example\r\n\r\n"
	for name, send := range map[string]func(t *testing.T, c *client){
		"in one segment":               func(t *testing.T, c *client) { c.send(t, request("/slow")+request("/next")) },
		"in one segment, without body": func(t *testing.T, c *client) { c.send(t, request("/slow")+withoutBody) },
		"in two segments": func(t *testing.T, c *client) {
			c.send(t, request("/slow"))
			time.Sleep(settleTime)
			c.send(t, request("/next"))
		},
		"in two segments, without body": func(t *testing.T, c *client) {
			c.send(t, request("/slow"))
			time.Sleep(settleTime)
			c.send(t, withoutBody)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newPausingSite(t, time.Second)
			c := s.dial(t)
			send(t, c)
			time.Sleep(settleTime)
			s.shutdown()
			close(s.release)
			if diff := cmp.Diff("/slow body", c.answer()); diff != "" {
				t.Fatalf("first answer (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff("/next body", c.answer()); diff != "" {
				t.Errorf("second answer (-want +got):\n%s", diff)
			}
		})
	}
}

// A request that comes slowly during a stop must be answered.
func TestSlowRequestDuringShutdownIsAnswered(t *testing.T) {
	const expects = "POST /c HTTP/1.1\r\nHost: site.example\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"
	for name, play := range map[string]func(t *testing.T, s *site, c *client){
		"waits for 100-continue since before the stop": func(t *testing.T, s *site, c *client) {
			c.send(t, expects)
			c.answer()
			s.shutdown()
			time.Sleep(time.Second)
			c.send(t, "body")
		},
		"waits for 100-continue on a kept connection": func(t *testing.T, s *site, c *client) {
			c.send(t, request("/first"))
			c.answer()
			s.shutdown()
			c.send(t, expects)
			c.answer()
			time.Sleep(time.Second)
			c.send(t, "body")
		},
		"HTTP/1.0": func(t *testing.T, s *site, c *client) {
			c.send(t, "POST /old HTTP/1.0\r\nHost: site.example\r\nContent-Length: 4\r\n\r\nbo")
			time.Sleep(settleTime)
			s.shutdown()
			time.Sleep(time.Second)
			c.send(t, "dy")
		},
		"byte by byte": func(t *testing.T, s *site, c *client) {
			s.shutdown()
			for _, b := range request("/bytes") {
				c.send(t, string(b))
				time.Sleep(20 * time.Millisecond)
			}
		},
		"body in chunks": func(t *testing.T, s *site, c *client) {
			c.send(t, "POST /chunks HTTP/1.1\r\nHost: site.example\r\nTransfer-Encoding: chunked\r\n\r\n")
			time.Sleep(settleTime)
			s.shutdown()
			for range 4 {
				time.Sleep(400 * time.Millisecond)
				c.send(t, "1\r\nb\r\n")
			}
			c.send(t, "0\r\n\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newPausingSite(t, 700*time.Millisecond)
			c := s.dial(t)
			s.listener.waitAccepted(1)
			play(t, s, c)
			if got := c.answer(); !strings.HasSuffix(got, " body") {
				t.Errorf("the caller got %q instead of an answer", got)
			}
			if err := <-s.done; err != nil {
				t.Errorf("shutdown: %v", err)
			}
		})
	}
}
