package hghostile_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgattempt"
	hgplatform "hyssopgrade/platform"
)

const (
	// endlessCallers is the number of callers of replicas whose answers do not end. What these could send them in a second is many times
	// the VM's memory.
	endlessCallers = 96
	// eventPause is the pause in streams, which last until the timeout of the route and would else take all of the machine's processors.
	eventPause = 2 * time.Millisecond
	// registerTime is how long a VM may need to learn of a registration, and endLimit how long a caller may wait for the end of its answer:
	// the timeout of the routes and a margin.
	registerTime = 1500 * time.Millisecond
	endLimit     = 6 * time.Second
	// attemptPlaceholder stands for the identifier of the attempt in the heads of answers.
	attemptPlaceholder = "any-attempt"
)

// endlessServer answers each request with head, and then with repeated until the connection is closed. id returns the identifier that
// takes the place of attemptPlaceholder.
type endlessServer struct {
	head, repeated string
	// pause is the time between two writes of some KB.
	pause time.Duration
	id    func(h http.Header) string
	// isSound selects the requests that are answered with 404.
	isSound func(r *http.Request) bool
	open    atomic.Int64
}

func (e *endlessServer) start(t *testing.T) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.answer(conn)
		}
	}()
	return l.Addr().String()
}

func (e *endlessServer) answer(conn net.Conn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if e.isSound != nil && e.isSound(r) {
		_, _ = io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n") // the caller may have left
		return
	}
	e.open.Add(1)
	defer e.open.Add(-1)
	_, err = io.WriteString(conn, strings.ReplaceAll(e.head, attemptPlaceholder, e.id(r.Header)))
	chunk := []byte(strings.Repeat(e.repeated, 1+(8<<10)/len(e.repeated)))
	for err == nil {
		_, err = conn.Write(chunk)
		time.Sleep(e.pause)
	}
}

// checkClosed checks that the connections whose answers do not end are closed.
func (e *endlessServer) checkClosed(t *testing.T) {
	t.Helper()
	for range 40 {
		if e.open.Load() == 0 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Errorf("%d connections stay open", e.open.Load())
}

// Guards against replicas that send bytes without end, in heads, bodies or events, which exhaust the memory of the VM that called them
// and end the requests of all its callers.
func TestEndlessAnswers(t *testing.T) {
	encode := func(a hgattempt.Answer) string {
		h, lines := http.Header{}, &strings.Builder{}
		hgplatform.EncodeAnswer(h, a)
		_ = h.Write(lines) // a builder takes all bytes
		return lines.String()
	}
	sealed := encode(hgattempt.Answer{AttemptID: attemptPlaceholder, Sealed: true})
	ok := "HTTP/1.1 200 OK\r\n" + sealed
	events := ok + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	refusal := "HTTP/1.1 503 Service Unavailable\r\n" + encode(hgattempt.Answer{AttemptID: attemptPlaceholder, NotRun: true})
	tests := map[string]struct {
		path, head, repeated string
		// ends says that the answer is whole before the bytes without end.
		ends bool
		// pause makes answers long before they are over their bound, so that many are held at the same time.
		pause time.Duration
	}{
		"no answer at all":        {hgsite.CheckPath, "", "x", false, 0},
		"header line":             {hgsite.CheckPath, "HTTP/1.1 200 OK\r\nX-Long: ", "x", false, 0},
		"header lines":            {hgsite.ChargePath, "HTTP/1.1 200 OK\r\n", "X-More: x\r\n", false, 0},
		"preliminary answers":     {hgsite.CheckPath, "", "HTTP/1.1 103 Early Hints\r\n\r\n", false, 0},
		"plain body":              {hgsite.CheckPath, ok + "\r\n", "x", false, 0},
		"plain body, slow":        {hgsite.CheckPath, ok + "\r\n", "x", false, time.Millisecond},
		"event, slow":             {hgsite.ThreadPath, events, "2000\r\n" + strings.Repeat("x", 8<<10) + "\r\n", false, time.Millisecond},
		"header lines, slow":      {hgsite.ChargePath, "HTTP/1.1 200 OK\r\n", "X-More: x\r\n", false, time.Millisecond},
		"plain body in chunks":    {hgsite.ChargePath, ok + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n", false, 0},
		"chunk extension":         {hgsite.CheckPath, ok + "Transfer-Encoding: chunked\r\n\r\n4;", "x", false, 0},
		"trailer":                 {hgsite.CheckPath, ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: x\r\n", false, 0},
		"event":                   {hgsite.ChatPath, events, "5\r\ndata:\r\n", false, eventPause},
		"events that say nothing": {hgsite.ThreadPath, events, "3\r\n:\n\n\r\n", false, eventPause},
		"refusal":                 {hgsite.ChargePath, refusal + "\r\n", "x", false, 0},
		"failure of a stream":     {hgsite.ThreadPath, "HTTP/1.1 500 Internal Server Error\r\n" + sealed + "\r\n", "x", false, 0},
		"after no content":        {hgsite.CheckPath, "HTTP/1.1 204 No Content\r\n" + sealed + "\r\n", "x", true, 0},
		"length that is exceeded": {hgsite.CheckPath, ok + "Content-Length: 4\r\n\r\n", "x", true, 0},
	}
	v := startVMs(t, 1, memoryMB, manyDescriptors)[0]
	sound := map[string]string{}
	for id, r := range v.site.Replicas {
		sound[id] = r.Entry.Address
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := &endlessServer{head: tt.head, repeated: tt.repeated, pause: tt.pause, id: func(h http.Header) string {
				a, _ := hgplatform.Dialect{}.DecodeAttempt(h) // one without an identifier gets an answer without it
				return a.ID
			}}
			address := e.start(t)
			for id := range sound {
				v.register(t, id, address)
			}
			time.Sleep(registerTime)
			var wg sync.WaitGroup
			for range endlessCallers {
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), endLimit)
					defer cancel()
					q := hgsite.Turn(tt.path, "endless"+hgsite.NewAttempt(), "", "endless "+hgsite.NewAttempt())
					q.NewConn = true
					reply, err := v.site.Call(ctx, 0, q)
					if err == nil && reply.Status == http.StatusOK && reply.Complete && !tt.ends {
						t.Errorf("the caller got an endless answer as a complete one of %d bytes", len(reply.Body))
					}
					if ctx.Err() != nil {
						t.Error("the caller got no end of its answer")
					}
				})
			}
			wg.Wait()
			for id, address := range sound {
				v.register(t, id, address)
			}
			time.Sleep(registerTime) // an ordinary request that a replica breaks off counts as one that crashes replicas
			v.checkAnswers(t)
			if resident := v.residentMB(t); resident > memoryMB {
				t.Errorf("%d MB resident, want %d at most", resident, memoryMB)
			}
			e.checkClosed(t)
		})
	}
	t.Logf("peak: %d MB resident", v.residentMB(t))
}

// register registers a replica under an address.
func (v *vm) register(t *testing.T, id, address string) {
	t.Helper()
	r := v.site.Replicas[id]
	r.Entry.Address = address
	if err := v.site.Register(r.Entry); err != nil {
		t.Fatal(err)
	}
}
