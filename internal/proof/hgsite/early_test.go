package hgsite_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
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

// earlyReplica answers each request when it has read the head, and reads the body afterwards. After an answer that ends with the
// connection it closes its own side only.
type earlyReplica struct {
	head, body string
	untilClose bool

	mu sync.Mutex
	// requests is the number of requests read; faults describes bytes that were not the ones due.
	requests int
	faults   []string
}

func (e *earlyReplica) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			if err := e.answer(conn.(*net.TCPConn)); err != nil {
				e.mu.Lock()
				defer e.mu.Unlock()
				e.faults = append(e.faults, err.Error())
			}
		}()
	}
}

// answer answers the requests of a connection. It returns an error if the peer sends anything but whole requests, the last of
// which may be cut off.
func (e *earlyReplica) answer(conn *net.TCPConn) (err error) {
	// With a small buffer a long body does not fit into the connection and is still being sent when the answer arrives.
	if err := conn.SetReadBuffer(64 << 10); err != nil {
		return err
	}
	in := bufio.NewReader(conn)
	for n := 0; ; n++ {
		if _, err := in.Peek(1); err != nil {
			return nil
		}
		r, err := http.ReadRequest(in)
		if err != nil {
			return fmt.Errorf("request %d of a connection: %w", n, err)
		}
		a, err := hgplatform.Dialect{}.DecodeAttempt(r.Header)
		if err != nil {
			return err
		}
		if e.untilClose && n > 0 {
			return errors.New("a request follows an answer that ended with its connection")
		}
		e.mu.Lock()
		e.requests++
		e.mu.Unlock()
		if _, err := io.WriteString(conn, strings.ReplaceAll(e.head+e.body, attemptPlaceholder, a.ID)); err != nil {
			return nil
		}
		if e.untilClose {
			if err := conn.CloseWrite(); err != nil {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
		body, err := io.ReadAll(r.Body)
		if want := longBody(a.ID); !strings.HasPrefix(want, string(body)) || err == nil && len(body) < len(want) {
			return fmt.Errorf("request %d of a connection: %d bytes of other content where the rest of its body is due", n, len(body))
		}
		if err != nil {
			return nil
		}
	}
}

// longBody returns a body that is longer than what the buffers of a connection hold, and different for each attempt.
func longBody(attempt string) string { return strings.Repeat(attempt+" ", (1<<20)/(len(attempt)+1)) }

// Guards against other bytes where the rest of a long body is due. A replica answers before it has read the body, keeps the
// connection or ends its side of it, and reads on later.
func TestAnswerBeforeBodyIsRead(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + answerHeaders(hgattempt.Answer{AttemptID: attemptPlaceholder, Sealed: true})
	stream := head + "Content-Type: text/event-stream\r\n"
	refusal := "HTTP/1.1 503 Service Unavailable\r\n" + answerHeaders(hgattempt.Answer{AttemptID: attemptPlaceholder, NotRun: true})
	const event = "id: 1\ndata: word1\n\n"
	tests := map[string]struct {
		path, head, body string
		untilClose       bool
		status           int
	}{
		"plain with a length":       {hgsite.ChargePath, head + "Content-Length: 4\r\n\r\n", "done", false, http.StatusOK},
		"plain without a body":      {hgsite.ChargePath, strings.Replace(head, "200 OK", "204 No Content", 1) + "\r\n", "", false, http.StatusNoContent},
		"plain, not modified":       {hgsite.ChargePath, strings.Replace(head, "200 OK", "304 Not Modified", 1) + "\r\n", "", false, http.StatusNotModified},
		"plain until close":         {hgsite.ChargePath, head + "\r\n", "done", true, http.StatusOK},
		"plain of HTTP/1.0":         {hgsite.ChargePath, strings.Replace(head, "1.1", "1.0", 1) + "\r\n", "done", true, http.StatusOK},
		"repeatable until close":    {hgsite.CheckPath, head + "\r\n", "done", true, http.StatusOK},
		"stream with chunks":        {hgsite.ChatPath, stream + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(event), event), false, http.StatusOK},
		"stream until close":        {hgsite.ChatPath, stream + "\r\n", event, true, http.StatusOK},
		"refusal with a length":     {hgsite.ChargePath, refusal + "Content-Length: 4\r\n\r\n", "busy", false, http.StatusServiceUnavailable},
		"refusal until close":       {hgsite.ChargePath, refusal + "\r\n", "busy", true, http.StatusServiceUnavailable},
		"failure with a length":     {hgsite.ChatPath, strings.Replace(head, "200 OK", "500 Oops", 1) + "Content-Length: 4\r\n\r\n", "oops", false, http.StatusInternalServerError},
		"failure of a plain answer": {hgsite.ChargePath, strings.Replace(head, "200 OK", "500 Oops", 1) + "\r\n", "oops", true, http.StatusInternalServerError},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := &earlyReplica{head: tt.head, body: tt.body, untilClose: tt.untilClose}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go e.serve(l)
			s := newSite(t, 1)
			registerAllAt(t, s, l.Addr().String())
			time.Sleep(time.Second)
			var wg sync.WaitGroup
			for i := range 4 {
				wg.Go(func() {
					for range 3 {
						q := hgsite.Turn(tt.path, fmt.Sprintf("p%d", i), "", "")
						q.Body = longBody(q.ID)
						reply, err := s.Call(context.Background(), 0, q)
						if err != nil || reply.Status != tt.status || !reply.Complete {
							t.Errorf("status %d, complete %v, %v, want %d: %.100s", reply.Status, reply.Complete, err, tt.status, reply.Body)
						}
					}
				})
			}
			wg.Wait()
			time.Sleep(300 * time.Millisecond)
			e.mu.Lock()
			defer e.mu.Unlock()
			if len(e.faults) > 0 || e.requests < 12 {
				t.Errorf("the replica got %d requests and other bytes: %q", e.requests, e.faults)
			}
		})
	}
}
