package hgserver_test

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hyssopgrade/internal/serve/hgserver"
)

// startBounded starts a server with the options and returns its address. Requests for /slow wait until the test ends.
func startBounded(t *testing.T, opts ...hgserver.Option) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	release := make(chan struct{})
	s := hgserver.NewServer(&http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
	})}, slog.New(slog.DiscardHandler), opts...)
	t.Cleanup(func() {
		close(release)
		_ = s.Close()
	})
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(shutdownLimit)); err != nil {
		t.Fatal(err)
	}
	return c
}

// isAnswered sends a request and reports whether it is answered.
func isAnswered(c net.Conn) bool {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return false
	}
	w, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err == nil && w.StatusCode == http.StatusOK
}

// Guards against a bound on connections that closes the wrong one: the longest idle goes first, and never one with a request on it.
func TestLongestIdleIsClosedFirst(t *testing.T) {
	var closed atomic.Int64
	address := startBounded(t, hgserver.WithMaxConns(3), hgserver.WithRefused(func(string) { closed.Add(1) }))
	slow, first, second := dial(t, address), dial(t, address), dial(t, address)
	if _, err := io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if !isAnswered(second) || !isAnswered(first) {
		t.Fatal("requests within the bound are not answered")
	}
	time.Sleep(settleTime)
	if third := dial(t, address); !isAnswered(third) {
		t.Error("the new connection is not served")
	}
	if isAnswered(second) {
		t.Error("the longest idle connection is open")
	}
	if !isAnswered(first) {
		t.Error("another connection was closed")
	}
	if n := closed.Load(); n != 1 {
		t.Errorf("%d connections closed, want 1", n)
	}
}

// Guards against unfinished heads that use up memory: the largest is closed, others go on.
func TestLargestHeadIsClosed(t *testing.T) {
	address := startBounded(t, hgserver.WithMaxHeadBytes(10_000))
	small, large := dial(t, address), dial(t, address)
	if _, err := io.WriteString(small, "GET / HTTP/1.1\r\nHost: x\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(large, "GET / HTTP/1.1\r\nX: "+strings.Repeat("x", 12_000)); err != nil {
		t.Fatal(err)
	}
	if _, err := large.Read(make([]byte, 1)); err == nil {
		t.Error("the largest head was not closed")
	}
	if _, err := io.WriteString(small, "\r\n"); err != nil {
		t.Fatal(err)
	}
	if w, err := http.ReadResponse(bufio.NewReader(small), nil); err != nil || w.StatusCode != http.StatusOK {
		t.Errorf("the small head got no answer: %v", err)
	}
}
