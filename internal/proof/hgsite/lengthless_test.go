package hgsite_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/proof/hgsite"
	hgplatform "hyssopgrade/platform"
)

// rawReply is an answer as its bytes came. Broken says that it did not end as its framing demands: neither with its length or
// last chunk nor, if it has neither, with a connection that was closed in order.
type rawReply struct {
	Status int
	Header http.Header
	Body   string
	Broken bool
}

// callRaw sends a request in a version of HTTP and reads the answer up to the end of the connection.
func callRaw(t *testing.T, s *hgsite.Site, version string, q hgsite.Request) (reply rawReply) {
	t.Helper()
	conn, err := net.Dial("tcp", s.Configs[0].Listen.Public)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(6 * time.Second)); err != nil {
		t.Fatal(err)
	}
	h := q.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	hgplatform.EncodeAttempt(h, q.Attempt)
	h.Set("Content-Length", fmt.Sprint(len(q.Body)))
	if version == "HTTP/1.1" {
		h.Set("Connection", "close")
	}
	method := q.Method
	if method == "" {
		method = http.MethodPost
	}
	text := &strings.Builder{}
	fmt.Fprintf(text, "%s %s %s\r\nHost: %s\r\n", method, q.Path, version, hgsite.Host)
	if err := h.Write(text); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, text.String()+"\r\n"+q.Body); err != nil {
		t.Fatal(err)
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return rawReply{Broken: true}
	}
	body, err := io.ReadAll(r.Body)
	return rawReply{Status: r.StatusCode, Header: r.Header, Body: string(body), Broken: err != nil}
}

// Guards against answers that end early and look complete. For a caller that speaks HTTP/1.0 the close of the connection is the
// end of a stream, so that a stream that breaks off has to end with a reset.
func TestAnswerUntilCloseIsWholeOrBroken(t *testing.T) {
	tests := map[string]struct {
		path   string
		fault  hgsite.Fault
		status int
		broken bool
		events int
	}{
		"stream":                          {hgsite.ThreadPath, hgsite.Fault{UntilClose: true}, http.StatusOK, false, hgsite.Events},
		"stream ends inside an event":     {hgsite.ThreadPath, hgsite.Fault{UntilClose: true, CutAfterEvents: 2}, http.StatusOK, true, 2},
		"stream is reset after an event":  {hgsite.ThreadPath, hgsite.Fault{UntilClose: true, ResetAfter: 2}, http.StatusOK, true, 2},
		"stream is reset after the last":  {hgsite.ThreadPath, hgsite.Fault{UntilClose: true, ResetAfter: hgsite.Events}, http.StatusOK, true, hgsite.Events},
		"stream with chunks ends early":   {hgsite.ThreadPath, hgsite.Fault{CutAfterEvents: 2}, http.StatusOK, true, 2},
		"resumable stream ends early":     {hgsite.ChatPath, hgsite.Fault{UntilClose: true, ResetAfter: 2}, http.StatusOK, false, hgsite.Events},
		"plain answer":                    {hgsite.ChargePath, hgsite.Fault{UntilClose: true}, http.StatusOK, false, 0},
		"plain answer is reset":           {hgsite.ChargePath, hgsite.Fault{UntilClose: true, ResetAfter: 4}, http.StatusBadGateway, false, 0},
		"plain answer is repeated":        {hgsite.CheckPath, hgsite.Fault{UntilClose: true, ResetAfter: 4}, http.StatusOK, false, 0},
		"failure of a stream":             {hgsite.ThreadPath, hgsite.Fault{UntilClose: true, Error: true}, http.StatusInternalServerError, false, 0},
		"failure of a plain request":      {hgsite.ChargePath, hgsite.Fault{UntilClose: true, Error: true}, http.StatusInternalServerError, false, 0},
		"refusal":                         {hgsite.ChargePath, hgsite.Fault{UntilClose: true, Refuse: true}, http.StatusServiceUnavailable, false, 0},
		"stream breaks before its events": {hgsite.ThreadPath, hgsite.Fault{UntilClose: true, CutAfterHeaders: true}, http.StatusBadGateway, false, 0},
		"resumable stream lacks events":   {hgsite.ChatPath, hgsite.Fault{UntilClose: true, CutAfterHeaders: true}, http.StatusOK, false, hgsite.Events},
	}
	s := newSite(t, 1)
	for name, tt := range tests {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(name+", "+version, func(t *testing.T) {
				f := tt.fault
				f.Remaining = 9
				if tt.path == hgsite.ChatPath || tt.path == hgsite.CheckPath {
					// Only the first replica of a request that may be repeated breaks off.
					var runs atomic.Int64
					f.Match = func(hgsite.Run) bool { return runs.Add(1) == 1 }
				}
				for _, r := range s.Replicas {
					r.SetFault(f)
				}
				q := hgsite.Turn(tt.path, "p "+name+version, "", name+version)
				reply := callRaw(t, s, version, q)
				for _, r := range s.Replicas {
					r.SetFault(hgsite.Fault{})
				}
				if reply.Status != tt.status || reply.Broken != tt.broken {
					t.Errorf("status %d, broken %v, want %d, %v: %q", reply.Status, reply.Broken, tt.status, tt.broken, reply.Body)
				}
				if got := strings.Count(reply.Body, "\n\n"); got != tt.events {
					t.Errorf("%d events, want %d: %q", got, tt.events, reply.Body)
				}
				if tt.events == 0 && reply.Header.Get("Content-Length") != fmt.Sprint(len(reply.Body)) {
					t.Errorf("a plain answer of %d bytes has the length %q", len(reply.Body), reply.Header.Get("Content-Length"))
				}
				if tt.path != hgsite.ThreadPath {
					return
				}
				// A turn is kept if its stream ended whole, and only then.
				kept := tt.status == http.StatusOK && !tt.broken
				want := map[bool]int{true: http.StatusOK, false: http.StatusNotFound}[kept]
				if next := call(t, s, 0, hgsite.Turn(tt.path, q.Program, q.ID, "next "+q.Body)); next.Status != want {
					t.Errorf("the next turn got status %d, want %d", next.Status, want)
				}
			})
		}
	}
}

// The head of an answer until close is passed on to requests and with statuses that have no body, with no body after it.
func TestAnswerUntilCloseWithoutBody(t *testing.T) {
	s := newSite(t, 1)
	for _, r := range s.Replicas {
		r.SetFault(hgsite.Fault{Remaining: 9, UntilClose: true})
	}
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, path := range []string{hgsite.CheckPath, hgsite.ThreadPath} {
			q := hgsite.Turn(path, "p "+path+version, "", "")
			q.Method = http.MethodHead
			got := callRaw(t, s, version, q)
			got.Header = nil
			if diff := cmp.Diff(rawReply{Status: http.StatusOK}, got); diff != "" {
				t.Errorf("HEAD %s, %s (-want +got):\n%s", path, version, diff)
			}
		}
	}
}

// Guards against a stream that ends with its VM and looks complete to a caller for whom the close of the connection is the end.
func TestStreamOfKilledVMIsBroken(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		s := newSite(t, 1)
		for _, r := range s.Replicas {
			r.SetPause(200 * time.Millisecond)
		}
		time.AfterFunc(500*time.Millisecond, func() { s.Kill(0) })
		if reply := callRaw(t, s, version, hgsite.Turn(hgsite.ThreadPath, "p", "", "x")); !reply.Broken || reply.Status != http.StatusOK {
			t.Errorf("%s: status %d, broken %v: %q", version, reply.Status, reply.Broken, reply.Body)
		}
	}
}
