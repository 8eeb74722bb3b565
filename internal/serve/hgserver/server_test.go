package hgserver_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/serve/hgserver"
)

const (
	// shutdownLimit bounds a shutdown, and settleTime is the time in which bytes on loopback arrive.
	shutdownLimit = 5 * time.Second
	settleTime    = 100 * time.Millisecond
)

// gate delays the reads or accepts of a server as a busy machine does, until it is opened.
type gate struct{ opened chan struct{} }

func newGate() *gate { return &gate{opened: make(chan struct{})} }

func (g *gate) open() { close(g.opened) }

// gatedListener gives out connections whose reads wait for reads, after the accepts gate.
type gatedListener struct {
	*net.TCPListener
	accepts, reads *gate
	mu             sync.Mutex
	accepted       int
}

func (l *gatedListener) Accept() (c net.Conn, err error) {
	if l.accepts != nil {
		<-l.accepts.opened
	}
	tcp, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.accepted++
	l.mu.Unlock()
	return &gatedConn{TCPConn: tcp, listener: l}, nil
}

func (l *gatedListener) setReads(g *gate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads = g
}

func (l *gatedListener) waitAccepted(n int) {
	for {
		l.mu.Lock()
		accepted := l.accepted
		l.mu.Unlock()
		if accepted >= n {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// gatedConn hides what has arrived from Read until the gate is open; what waits for bytes waits on.
type gatedConn struct {
	*net.TCPConn
	listener *gatedListener
}

func (c *gatedConn) Read(p []byte) (n int, err error) {
	c.listener.mu.Lock()
	g := c.listener.reads
	c.listener.mu.Unlock()
	if g != nil {
		<-g.opened
	}
	return c.TCPConn.Read(p)
}

// site is a server behind a gated listener.
type site struct {
	server   *hgserver.Server
	listener *gatedListener
	log      *lockedBuffer
	// release ends the requests for /slow.
	release chan struct{}
	done    chan error
}

// lockedBuffer collects a log.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (n int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func newSite(t *testing.T, accepts, reads *gate) *site {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &site{listener: &gatedListener{TCPListener: l.(*net.TCPListener), accepts: accepts, reads: reads}, log: &lockedBuffer{}, release: make(chan struct{}), done: make(chan error, 1)}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		w.WriteHeader(http.StatusOK)
		if r.URL.Path == "/slow" {
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
			<-s.release
		}
		fmt.Fprintf(w, "%s %s", r.URL.Path, body)
	})
	s.server = hgserver.NewServer(&http.Server{Handler: handler, ReadHeaderTimeout: shutdownLimit, IdleTimeout: shutdownLimit}, slog.New(slog.NewTextHandler(s.log, nil)))
	go func() { _ = s.server.Serve(s.listener) }()
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

// shutdown begins to stop the server; wait returns the result.
func (s *site) shutdown() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
		defer cancel()
		s.done <- s.server.Shutdown(ctx)
	}()
	time.Sleep(settleTime)
}

// client is a connection to the server.
type client struct {
	net.Conn
	r *bufio.Reader
}

func (s *site) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &client{Conn: c, r: bufio.NewReader(c)}
}

// request returns the bytes of a request with a body.
func request(path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: site.example\r\nContent-Length: 4\r\n\r\nbody", path)
}

func (c *client) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// answer reads an answer and returns its body, or the error.
func (c *client) answer() string {
	if err := c.SetReadDeadline(time.Now().Add(shutdownLimit)); err != nil {
		return err.Error()
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return err.Error()
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}

// A request that the VM's system has received before the stop must be answered, however late the process reads it.
func TestRequestReceivedBeforeShutdownIsAnswered(t *testing.T) {
	for name, play := range map[string]func(t *testing.T) (got string){
		"in the listener's queue": func(t *testing.T) string {
			g := newGate()
			s := newSite(t, g, nil)
			c := s.dial(t)
			c.send(t, request("/queue"))
			time.Sleep(settleTime)
			s.shutdown()
			g.open()
			return c.answer()
		},
		"on a new connection": func(t *testing.T) string {
			g := newGate()
			s := newSite(t, nil, g)
			c := s.dial(t)
			c.send(t, request("/new"))
			s.listener.waitAccepted(1)
			s.shutdown()
			g.open()
			return c.answer()
		},
		"on a kept connection": func(t *testing.T) string {
			s := newSite(t, nil, nil)
			c := s.dial(t)
			c.send(t, request("/first"))
			if diff := cmp.Diff("/first body", c.answer()); diff != "" {
				t.Fatalf("answer before the stop (-want +got):\n%s", diff)
			}
			g := newGate()
			s.listener.setReads(g)
			c.send(t, request("/second")[:1]) // ends the read that waits since the first answer
			time.Sleep(settleTime)
			c.send(t, request("/second")[1:])
			time.Sleep(settleTime)
			s.shutdown()
			g.open()
			return c.answer()
		},
		"header half sent": func(t *testing.T) string {
			s := newSite(t, nil, nil)
			c := s.dial(t)
			c.send(t, request("/first"))
			c.answer()
			text := request("/half")
			c.send(t, text[:20])
			time.Sleep(settleTime)
			s.shutdown()
			c.send(t, text[20:])
			return c.answer()
		},
		"body half sent": func(t *testing.T) string {
			s := newSite(t, nil, nil)
			c := s.dial(t)
			text := request("/body")
			c.send(t, text[:len(text)-2])
			time.Sleep(settleTime)
			s.shutdown()
			c.send(t, text[len(text)-2:])
			return c.answer()
		},
		"answer begun": func(t *testing.T) string {
			s := newSite(t, nil, nil)
			c := s.dial(t)
			c.send(t, request("/slow"))
			time.Sleep(settleTime)
			s.shutdown()
			close(s.release)
			return c.answer()
		},
	} {
		t.Run(name, func(t *testing.T) {
			got := play(t)
			if !strings.HasSuffix(got, " body") {
				t.Errorf("the caller got %q instead of an answer", got)
			}
		})
	}
}

// A caller whose answer was begun before the stop was not told that the connection ends; its next request must be answered.
func TestRequestRightAfterAnswerDuringShutdownIsAnswered(t *testing.T) {
	s := newSite(t, nil, nil)
	c := s.dial(t)
	c.send(t, request("/slow"))
	time.Sleep(settleTime)
	s.shutdown()
	close(s.release)
	if diff := cmp.Diff("/slow body", c.answer()); diff != "" {
		t.Fatalf("answer (-want +got):\n%s", diff)
	}
	if _, err := io.WriteString(c, request("/next")); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("/next body", c.answer()); diff != "" {
		t.Errorf("next answer (-want +got):\n%s", diff)
	}
}

// A server that announces the end of its connections must not close one before an answer has said so.
func TestAnnouncedCloseServesKeptConnection(t *testing.T) {
	s := newSite(t, nil, nil)
	c := s.dial(t)
	c.send(t, request("/first"))
	c.answer()
	s.server.AnnounceClose()
	time.Sleep(settleTime)
	c.send(t, request("/second"))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if !resp.Close {
		t.Error("the answer does not announce the end of the connection")
	}
}

// A connection that ends with a request on it must leave a line in the log, whatever closes it.
func TestConnectionClosedWithRequestIsLogged(t *testing.T) {
	g := newGate()
	s := newSite(t, nil, g)
	defer g.open()
	c := s.dial(t)
	c.send(t, request("/lost"))
	s.listener.waitAccepted(1)
	time.Sleep(settleTime)
	if err := s.server.Close(); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(s.log.String(), "connection closed with an unanswered request") {
		t.Errorf("log: %q", s.log)
	}
}

// A shutdown must not wait for connections without a request.
func TestShutdownClosesIdleConnections(t *testing.T) {
	s := newSite(t, nil, nil)
	kept, unused := s.dial(t), s.dial(t)
	kept.send(t, request("/first"))
	kept.answer()
	s.listener.waitAccepted(2)
	began := time.Now()
	s.shutdown()
	if err := <-s.done; err != nil {
		t.Errorf("shutdown: %v", err)
	}
	if took := time.Since(began); took > shutdownLimit/2 {
		t.Errorf("the shutdown took %v", took)
	}
	for name, c := range map[string]*client{"kept": kept, "unused": unused} {
		if got := c.answer(); !strings.Contains(got, "EOF") {
			t.Errorf("%s connection: %q", name, got)
		}
	}
}
