package hgsite_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/operate/hgentryvm"
	"hyssopgrade/internal/proof/hgreset"
	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgattempt"
	hgplatform "hyssopgrade/platform"
)

// resetReplica stands in for all replicas of a site. It answers the first try of each attempt with a part of an answer and resets the
// connection under the upload; further tries are answered whole.
type resetReplica struct {
	// part returns the bytes that answer a first try.
	part func(id string) string

	mu   sync.Mutex
	runs map[string]int
}

// answer is the Answer of a hgreset.Server.
func (r *resetReplica) answer(q *http.Request) hgreset.Answer {
	a, err := hgplatform.Dialect{}.DecodeAttempt(q.Header)
	if err != nil {
		return hgreset.Answer{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[a.ID]++
	switch {
	case r.runs[a.ID] == 1:
		return hgreset.Answer{Data: r.part(a.ID), Reset: true}
	case a.LastEvent != "":
		return hgreset.Answer{Data: rawStream(a.ID, 3, hgsite.Events)}
	case strings.HasPrefix(q.URL.Path, hgsite.ChatPath):
		return hgreset.Answer{Data: rawStream(a.ID, 1, hgsite.Events)}
	}
	return hgreset.Answer{Data: rawAnswer(a.ID)}
}

// runsOf returns how often an attempt was run.
func (r *resetReplica) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// Guards against a part of an answer that counts as whole. A replica answers a long upload before it has read it, without a length, and
// resets the connection; it is the write of the upload that fails by the reset.
func TestResetUnderUploadIsNoEndOfAnswer(t *testing.T) {
	sealed := func(id string) hgattempt.Answer { return hgattempt.Answer{AttemptID: id, Sealed: true} }
	long := strings.Repeat("part of the answer ", 3<<10)
	plain := func(status, body string) func(id string) string {
		return func(id string) string { return rawHead(status, sealed(id)) + body }
	}
	events := func(last int) func(id string) string {
		return func(id string) string {
			return rawHead("200 OK", sealed(id), "Content-Type: text/event-stream") + rawEvents(1, last)
		}
	}
	old := func(id string) string { return strings.Replace(plain("200 OK", long)(id), "HTTP/1.1", "HTTP/1.0", 1) }
	tests := map[string]struct {
		path     string
		part     func(id string) string
		status   int
		complete bool
		body     string
		runs     int
	}{
		"charge":                    {hgsite.ChargePath, plain("200 OK", long), http.StatusBadGateway, true, "", 1},
		"charge, short part":        {hgsite.ChargePath, plain("200 OK", "done"), http.StatusBadGateway, true, "", 1},
		"charge, HTTP/1.0":          {hgsite.ChargePath, old, http.StatusBadGateway, true, "", 1},
		"charge, failure":           {hgsite.ChargePath, plain("500 Internal Server Error", long), http.StatusBadGateway, true, "", 1},
		"check":                     {hgsite.CheckPath, plain("200 OK", long), http.StatusOK, true, "done", 2},
		"check, failure":            {hgsite.CheckPath, plain("500 Internal Server Error", long), http.StatusOK, true, "done", 2},
		"retained turn":             {hgsite.ThreadPath, events(2), http.StatusOK, false, rawEvents(1, 2), 1},
		"retained turn, all events": {hgsite.ThreadPath, events(hgsite.Events), http.StatusOK, false, rawEvents(1, hgsite.Events), 1},
		"retained turn, failure":    {hgsite.ThreadPath, plain("500 Internal Server Error", long), http.StatusBadGateway, true, "", 1},
		"resumable stream":          {hgsite.ChatPath, events(2), http.StatusOK, true, rawEvents(1, hgsite.Events), 2},
		"resumable, failure":        {hgsite.ChatPath, plain("500 Internal Server Error", long), http.StatusOK, true, rawEvents(1, hgsite.Events), 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := hgsite.NewSite(0, nil)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(s.Close)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			replica := &resetReplica{part: tt.part, runs: map[string]int{}}
			go hgreset.Server{Answer: replica.answer}.Serve(l)
			registerAllAt(t, s, l.Addr().String())
			s.Options = []hgentryvm.Option{hgentryvm.WithReplicaDial(hgreset.Dial)}
			if _, err := s.AddConfig(s.StoreAddress()); err != nil {
				t.Fatal(err)
			}
			// The VMs of all tests share one process, and a VM that finds its heap near the limit refuses long uploads.
			s.Configs[0].VM.MemoryMB = 1 << 10
			s.Nodes = append(s.Nodes, nil)
			if err := s.StartNode(0); err != nil {
				t.Fatal(err)
			}
			if err := s.WaitReady(readyLimit); err != nil {
				t.Fatal(err)
			}
			for i := range 4 {
				q := hgsite.Turn(tt.path, fmt.Sprint(name, i), "", "")
				q.Body = longBody(q.ID)
				reply := callWithin(t, s, q, answerLimit)
				if reply.Status != tt.status || reply.Complete != tt.complete {
					t.Errorf("status %d, complete %v, want %d, %v: %.100q", reply.Status, reply.Complete, tt.status, tt.complete, reply.Body)
				}
				if tt.status == http.StatusOK {
					if diff := cmp.Diff(tt.body, reply.Body); diff != "" {
						t.Errorf("body (-want +got):\n%s", diff)
					}
				}
				if diff := cmp.Diff(tt.runs, replica.runsOf(q.ID)); diff != "" {
					t.Errorf("runs (-want +got):\n%s", diff)
				}
				if tt.path != hgsite.ThreadPath {
					continue
				}
				next := callWithin(t, s, hgsite.Turn(tt.path, q.Program, q.ID, "next"), answerLimit)
				if diff := cmp.Diff(http.StatusNotFound, next.Status); diff != "" {
					t.Errorf("status of the turn after it (-want +got):\n%s", diff)
				}
			}
		})
	}
}
