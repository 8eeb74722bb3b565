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

// endlessReplica answers each request with head and then with repeated, over and over, until the connection is closed.
type endlessReplica struct {
	head, repeated string
	openConns      atomic.Int64
}

func (e *endlessReplica) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go e.answer(conn)
	}
}

func (e *endlessReplica) answer(conn net.Conn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	e.openConns.Add(1)
	defer e.openConns.Add(-1)
	a, err := hgplatform.Dialect{}.DecodeAttempt(r.Header)
	if err != nil {
		return
	}
	_, err = io.WriteString(conn, strings.ReplaceAll(e.head, attemptPlaceholder, a.ID))
	chunk := []byte(strings.Repeat(e.repeated, 1+8192/len(e.repeated)))
	for err == nil {
		_, err = conn.Write(chunk)
	}
}

// attemptPlaceholder stands for the attempt's identifier in the heads of test cases.
const attemptPlaceholder = "any-attempt"

// answerHeaders returns the header lines that encode an answer.
func answerHeaders(a hgattempt.Answer) string {
	h, lines := http.Header{}, &strings.Builder{}
	hgplatform.EncodeAnswer(h, a)
	if err := h.Write(lines); err != nil {
		panic(err)
	}
	return lines.String()
}

// Guards against replicas that send bytes without end, which could exhaust the VM's memory or block callers. While all replicas
// do so for many concurrent requests, memory stays bounded, callers get an answer from the VM in time, and the connections to
// the replicas are closed.
func TestEndlessBytes(t *testing.T) {
	const (
		callers = 48
		// maxHeap is half of a VM's memory, in bytes. The heap of the test holds the stand-ins and the callers beside the VM.
		maxHeap = 128 << 20
	)
	sealed := answerHeaders(hgattempt.Answer{AttemptID: attemptPlaceholder, Sealed: true})
	okHead := "HTTP/1.1 200 OK\r\n" + sealed
	eventStreamHead := okHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	refusal := "HTTP/1.1 503 Service Unavailable\r\n" + answerHeaders(hgattempt.Answer{AttemptID: attemptPlaceholder, NotRun: true})
	tests := map[string]struct {
		path, head, repeated string
	}{
		"no answer at all":        {hgsite.CheckPath, "", "x"},
		"header line":             {hgsite.CheckPath, "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"header lines":            {hgsite.ChargePath, "HTTP/1.1 200 OK\r\n", "X-More: x\r\n"},
		"preliminary answers":     {hgsite.CheckPath, "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"plain body":              {hgsite.CheckPath, okHead + "\r\n", "x"},
		"plain body in chunks":    {hgsite.ChargePath, okHead + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
		"chunk extension":         {hgsite.CheckPath, okHead + "Transfer-Encoding: chunked\r\n\r\n4;", "x"},
		"trailer":                 {hgsite.CheckPath, okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: x\r\n"},
		"event":                   {hgsite.ChatPath, eventStreamHead, "5\r\ndata:\r\n"},
		"events that say nothing": {hgsite.ThreadPath, eventStreamHead, "3\r\n:\n\n\r\n"},
		"refusal":                 {hgsite.ChargePath, refusal + "\r\n", "x"},
		"failure of a stream":     {hgsite.ThreadPath, "HTTP/1.1 500 Internal Server Error\r\n" + sealed + "\r\n", "x"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := &endlessReplica{head: tt.head, repeated: tt.repeated}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go e.serve(l)
			s := newSite(t, 1)
			registerAllAt(t, s, l.Addr().String())
			time.Sleep(time.Second)
			var peak atomic.Uint64
			watch, stop := context.WithCancel(t.Context())
			go watchHeap(watch, &peak)
			var wg sync.WaitGroup
			for i := range callers {
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
					defer cancel()
					reply, err := s.Call(ctx, 0, hgsite.Turn(tt.path, fmt.Sprintf("p%d", i), "", "x"))
					if err == nil && reply.Status == http.StatusOK && reply.Complete {
						t.Errorf("the caller got an endless answer as a complete one of %d bytes", len(reply.Body))
					}
					if ctx.Err() != nil {
						t.Error("the caller got no end of its answer")
					}
				})
			}
			wg.Wait()
			stop()
			if heap := peak.Load(); heap > maxHeap {
				t.Errorf("%d MB of heap, want %d at most", heap>>20, maxHeap>>20)
			}
			for range 40 {
				if e.openConns.Load() == 0 {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
			t.Errorf("%d connections stay open", e.openConns.Load())
		})
	}
}

// watchHeap samples the heap in use until the context ends and keeps its peak in bytes.
func watchHeap(ctx context.Context, peak *atomic.Uint64) {
	var stats runtime.MemStats
	for ctx.Err() == nil {
		runtime.ReadMemStats(&stats)
		peak.Store(max(peak.Load(), stats.HeapAlloc))
		time.Sleep(20 * time.Millisecond)
	}
}
