package hgsite_test

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgattempt"
	hgplatform "hyssopgrade/platform"
)

// rawReplica stands in for all replicas of a site and writes the bytes of its answers as they are.
type rawReplica struct {
	// answer returns the bytes that answer the n-th request of a connection, counted from 1, whether the request was run, and
	// whether the connection ends after them.
	answer func(n int, q rawRequest) (data string, ran, end bool)

	mu sync.Mutex
	// runs counts the runs of each attempt.
	runs map[string]int
}

// rawRequest is a request that a rawReplica has received.
type rawRequest struct {
	hgattempt.Attempt
	Replica, Body string
}

// useRawReplica makes all replicas of a site answer with the bytes that answer returns.
func useRawReplica(t *testing.T, s *hgsite.Site, answer func(n int, q rawRequest) (data string, ran, end bool)) *rawReplica {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	r := &rawReplica{answer: answer, runs: map[string]int{}}
	go r.serve(l)
	registerAllAt(t, s, l.Addr().String())
	time.Sleep(applyLimit)
	return r
}

func (r *rawReplica) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go r.serveConn(conn)
	}
}

func (r *rawReplica) serveConn(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for n := 1; ; n++ {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		a, err := hgplatform.Dialect{}.DecodeAttempt(q.Header)
		if err != nil {
			return
		}
		data, ran, end := r.answer(n, rawRequest{Attempt: a, Replica: hgplatform.ExpectedReplica(q.Header), Body: string(body)})
		if ran {
			r.mu.Lock()
			r.runs[a.ID]++
			r.mu.Unlock()
		}
		if _, err := io.WriteString(conn, data); err != nil || end {
			return
		}
	}
}

// Runs returns how often each attempt was run.
func (r *rawReplica) Runs() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.runs)
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

// rawHead returns a status line with the header lines that encode an answer, and further lines.
func rawHead(status string, a hgattempt.Answer, lines ...string) string {
	return "HTTP/1.1 " + status + "\r\n" + answerHeaders(a) + strings.Join(append(lines, "\r\n"), "\r\n")
}

// rawAnswer returns a complete answer with the body "done".
func rawAnswer(id string) string {
	return rawHead("200 OK", hgattempt.Answer{AttemptID: id, Sealed: true}, "Content-Length: 4") + "done"
}

// rawEvents returns events of a stream, from the first to the last one.
func rawEvents(first, last int) (data string) {
	for i := first; i <= last; i++ {
		data += fmt.Sprintf("id: %d\ndata: %s\n\n", i, hgsite.Event(i))
	}
	return data
}

// rawChunk returns one chunk of a body.
func rawChunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// rawStreamHead returns the head of a stream whose body comes in chunks.
func rawStreamHead(id string) string {
	return rawHead("200 OK", hgattempt.Answer{AttemptID: id, Sealed: true}, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
}

// rawStream returns a stream that is complete with the given events.
func rawStream(id string, first, last int) string {
	return rawStreamHead(id) + rawChunk(rawEvents(first, last)) + "0\r\n\r\n"
}

// registerAllAt registers one address for all replicas of a site, so that the stand-in that listens there takes their requests.
func registerAllAt(t *testing.T, s *hgsite.Site, address string) {
	t.Helper()
	for _, r := range s.Replicas {
		entry := r.Entry
		entry.Address = address
		if err := s.Register(entry); err != nil {
			t.Fatal(err)
		}
	}
}
