package hgsite_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgattempt"
	hgplatform "hyssopgrade/platform"
)

// endless is a replica that answers each request with a beginning, and then with the same bytes until its connection is
// closed.
type endless struct {
	head, more string
	open       atomic.Int64
}

func (e *endless) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go e.answer(conn)
	}
}

func (e *endless) answer(conn net.Conn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	e.open.Add(1)
	defer e.open.Add(-1)
	a, err := hgplatform.Dialect{}.DecodeAttempt(r.Header)
	if err != nil {
		return
	}
	_, err = io.WriteString(conn, strings.ReplaceAll(e.head, anyID, a.ID))
	more := strings.Repeat(e.more, 1+8192/len(e.more))
	for err == nil {
		_, err = io.WriteString(conn, more)
	}
}

// anyID stands for the attempt's identifier in the heads of answers.
const anyID = "any-attempt"

// headOf returns the lines of a head that say what an answer says.
func headOf(a hgattempt.Answer) string {
	h, lines := http.Header{}, &strings.Builder{}
	hgplatform.EncodeAnswer(h, a)
	if err := h.Write(lines); err != nil {
		panic(err)
	}
	return lines.String()
}

// Bytes without end that are no answer, from all replicas to many requests at once, take a bounded part of a VM's
// memory; callers get an answer of the VM's own in time, and the connections are closed.
func TestEndlessBytes(t *testing.T) {
	const (
		callers = 48
		// maxHeap is half of a VM's memory, in bytes; the heap holds the stand-ins and the callers besides the VM.
		maxHeap = 128 << 20
	)
	sealed := headOf(hgattempt.Answer{AttemptID: anyID, Sealed: true})
	okHead := "HTTP/1.1 200 OK\r\n" + sealed
	inEvents := okHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	refusal := "HTTP/1.1 503 Service Unavailable\r\n" + headOf(hgattempt.Answer{AttemptID: anyID, NotRun: true})
	tests := map[string]struct {
		path, head, more string
	}{
		"no answer at all":        {hgsite.CheckPath, "", "x"},
		"header line":             {hgsite.CheckPath, "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"header lines":            {hgsite.ChargePath, "HTTP/1.1 200 OK\r\n", "X-More: x\r\n"},
		"preliminary answers":     {hgsite.CheckPath, "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"plain body":              {hgsite.CheckPath, okHead + "\r\n", "x"},
		"plain body in chunks":    {hgsite.ChargePath, okHead + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
		"chunk extension":         {hgsite.CheckPath, okHead + "Transfer-Encoding: chunked\r\n\r\n4;", "x"},
		"trailer":                 {hgsite.CheckPath, okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: x\r\n"},
		"event":                   {hgsite.ChatPath, inEvents, "5\r\ndata:\r\n"},
		"events that say nothing": {hgsite.ThreadPath, inEvents, "3\r\n:\n\n\r\n"},
		"refusal":                 {hgsite.ChargePath, refusal + "\r\n", "x"},
		"failure of a stream":     {hgsite.ThreadPath, "HTTP/1.1 500 Internal Server Error\r\n" + sealed + "\r\n", "x"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := &endless{head: tt.head, more: tt.more}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go e.serve(l)
			s := newSite(t, 1)
			for _, r := range s.Replicas {
				entry := r.Entry
				entry.Address = l.Addr().String()
				if err := s.Register(entry); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(time.Second)
			var most atomic.Uint64
			watch, stop := context.WithCancel(t.Context())
			go watchHeap(watch, &most)
			var wg sync.WaitGroup
			for i := range callers {
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
					defer cancel()
					reply, err := s.Call(ctx, 0, hgsite.Turn(tt.path, fmt.Sprintf("p%d", i), "", "x"))
					if err == nil && reply.Status == http.StatusOK && reply.Whole {
						t.Errorf("an answer without end looks whole: %d bytes", len(reply.Body))
					}
					if ctx.Err() != nil {
						t.Error("the caller got no end of its answer")
					}
				})
			}
			wg.Wait()
			stop()
			if heap := most.Load(); heap > maxHeap {
				t.Errorf("%d MB of heap, want %d at most", heap>>20, maxHeap>>20)
			}
			for range 40 {
				if e.open.Load() == 0 {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
			t.Errorf("%d connections stay open", e.open.Load())
		})
	}
}

func watchHeap(ctx context.Context, most *atomic.Uint64) {
	var stats runtime.MemStats
	for ctx.Err() == nil {
		runtime.ReadMemStats(&stats)
		most.Store(max(most.Load(), stats.HeapAlloc))
		time.Sleep(20 * time.Millisecond)
	}
}
