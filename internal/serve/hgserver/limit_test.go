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

	"hyssopgrade/internal/serve/hgmemory"
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
	for _, c := range []net.Conn{second, first} {
		if !isAnswered(c) {
			t.Fatal("requests within the bound are not answered")
		}
		time.Sleep(settleTime) // a connection is idle a moment after its answer has come
	}
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

// stoppedClock is a clock whose time does not pass.
type stoppedClock struct{}

func (stoppedClock) Now() time.Duration { return 0 }

// oneRequest is the memory of a connection with a request of few bytes.
const oneRequest = 50_000

// Guards against unfinished heads that use up memory: the largest is closed, others go on.
func TestLargestHeadIsClosed(t *testing.T) {
	address := startBounded(t, hgserver.WithAccount(hgmemory.NewAccount(2*oneRequest+20_000, stoppedClock{})))
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

// Guards against heads that take many times their bytes in memory: those with many lines or long lists are closed before plain ones of the
// same size, also when they come together with another request.
func TestCostlyHeadsAreClosed(t *testing.T) {
	const size = 3000
	tests := map[string]struct {
		before, head string
		want         bool
	}{
		"one line":       {"", "X: " + strings.Repeat("x", size), true},
		"lines":          {"", strings.Repeat("X: x\r\n", size/6) + "X: x", false},
		"list":           {"", "X: " + strings.Repeat("a,", size/2), false},
		"lines, behind":  {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", strings.Repeat("X: x\r\n", size/6) + "X: x", false},
		"as long behind": {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "X: " + strings.Repeat("x", size), true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := dial(t, startBounded(t, hgserver.WithAccount(hgmemory.NewAccount(oneRequest+20_000, stoppedClock{}))))
			if _, err := io.WriteString(c, tt.before+"GET / HTTP/1.1\r\nHost: x\r\n"+tt.head+"\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			r := bufio.NewReader(c)
			if tt.before != "" {
				if _, err := http.ReadResponse(r, nil); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := http.ReadResponse(r, nil); (err == nil) != tt.want {
				t.Errorf("answered: %v, want %v", err == nil, tt.want)
			}
		})
	}
}
