package hgsite_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgattempt"
)

// callWithin sends a request to VM 0 and fails the test if the answer does not end within the limit.
func callWithin(t *testing.T, s *hgsite.Site, q hgsite.Request, limit time.Duration) hgsite.Reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	reply, err := s.Call(ctx, 0, q)
	if err != nil {
		t.Fatal(err)
	}
	if ctx.Err() != nil {
		t.Fatalf("no end of the answer within %v", limit)
	}
	return reply
}

// answerLimit is the time within which each answer must end: the timeout of the routes and a margin.
const answerLimit = 5 * time.Second

// Guards against a second replica's error, or anything else that does not go on with the stream, in the caller's begun stream.
func TestNothingButItsNextEventsContinuesABrokenStream(t *testing.T) {
	sealed := func(id string) hgattempt.Answer { return hgattempt.Answer{AttemptID: id, Sealed: true} }
	const (
		chunked = "Transfer-Encoding: chunked"
		events  = "Content-Type: text/event-stream"
		text    = "Content-Type: text/plain"
		failure = "error: out of memory\n\nHTTP/1.1 500 Internal Server Error\n\n"
	)
	tests := map[string]func(id string) string{
		"error with a length": func(id string) string {
			return rawHead("500 Internal Server Error", sealed(id), "Content-Length: 4") + "fail"
		},
		"error in chunks": func(id string) string {
			return rawHead("500 Internal Server Error", sealed(id), chunked) + rawChunk(failure) + "0\r\n\r\n"
		},
		"error until close": func(id string) string { return rawHead("500 Internal Server Error", sealed(id)) + failure },
		"error as an event stream": func(id string) string {
			return rawHead("500 Internal Server Error", sealed(id), events, chunked) + rawChunk(rawEvents(3, 4)) + "0\r\n\r\n"
		},
		"error after an early hint": func(id string) string {
			return "HTTP/1.1 103 Early Hints\r\n\r\n" + rawHead("500 Internal Server Error", sealed(id)) + failure
		},
		"not run": func(id string) string {
			return rawHead("503 Service Unavailable", hgattempt.Answer{AttemptID: id, NotRun: true}, "Content-Length: 0")
		},
		"no content":               func(id string) string { return rawHead("204 No Content", sealed(id)) },
		"reset content":            func(id string) string { return rawHead("205 Reset Content", sealed(id), "Content-Length: 0") },
		"partial content":          func(id string) string { return rawHead("206 Partial Content", sealed(id), events) + rawEvents(3, 4) },
		"not modified":             func(id string) string { return rawHead("304 Not Modified", sealed(id)) },
		"plain":                    func(id string) string { return rawHead("200 OK", sealed(id), text, "Content-Length: 4") + "fail" },
		"plain with blank lines":   func(id string) string { return rawHead("200 OK", sealed(id), text) + failure },
		"untyped with blank lines": func(id string) string { return rawHead("200 OK", sealed(id)) + failure },
		"text that is no event":    func(id string) string { return rawHead("200 OK", sealed(id), events) + failure },
		"head in the body": func(id string) string {
			return rawHead("200 OK", sealed(id), events) + rawHead("500 Internal Server Error", sealed(id)) + failure
		},
		"repeats an event": func(id string) string { return rawStream(id, 2, hgsite.Events) },
		"begins again":     func(id string) string { return rawStream(id, 1, hgsite.Events) },
		"skips an event":   func(id string) string { return rawStream(id, 4, hgsite.Events) },
		"events without identifiers": func(id string) string {
			return rawStreamHead(id) + rawChunk("data: word3\n\ndata: word4\n\n") + "0\r\n\r\n"
		},
		"of another attempt": func(string) string { return rawStream("stranger", 3, hgsite.Events) },
		"no attempt":         func(string) string { return rawStream("", 3, hgsite.Events) },
		"no seal": func(id string) string {
			return rawHead("200 OK", hgattempt.Answer{AttemptID: id}, events) + rawEvents(3, 4)
		},
		"encoded": func(id string) string {
			return rawHead("200 OK", sealed(id), events, "Content-Encoding: gzip") + rawEvents(3, 4)
		},
		"cut in the status line":     func(string) string { return "HTTP/1.1 20" },
		"cut in the headers":         func(id string) string { return rawHead("200 OK", sealed(id))[:40] },
		"cut within the first event": func(id string) string { return rawStreamHead(id) + rawChunk("id: 3\nda") },
		"no bytes":                   func(string) string { return "" },
		"no HTTP":                    func(string) string { return rawEvents(3, 4) },
		"no event in chunks":         func(id string) string { return rawStreamHead(id) + "0\r\n\r\n" },
		"no event until close":       func(id string) string { return rawHead("200 OK", sealed(id), events) },
		"no event with length 0":     func(id string) string { return rawHead("200 OK", sealed(id), events, "Content-Length: 0") },
		"a comment and no event":     func(id string) string { return rawStreamHead(id) + rawChunk(": done\n\n") + "0\r\n\r\n" },
		"switches protocols and waits": func(id string) string {
			return rawHead("101 Switching Protocols", sealed(id), "Connection: Upgrade", "Upgrade: x")
		},
	}
	s := newSite(t, 1)
	var second atomic.Pointer[func(id string) string]
	useRawReplica(t, s, func(_ int, q rawRequest) (data string, ran, end bool) {
		if q.LastEvent == "" {
			return rawStreamHead(q.ID) + rawChunk(rawEvents(1, 2)), true, true
		}
		data = (*second.Load())(q.ID)
		return data, true, len(data) < 12 || data[9:12] != "101"
	})
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			second.Store(&answer)
			reply := callWithin(t, s, hgsite.Turn(hgsite.ChatPath, "resumed "+name, "", name), answerLimit)
			if reply.Status != http.StatusOK || reply.Complete {
				t.Errorf("status %d, complete %v, want a broken stream", reply.Status, reply.Complete)
			}
			if diff := cmp.Diff(rawEvents(1, 2), reply.Body); diff != "" {
				t.Errorf("stream (-want +got):\n%s", diff)
			}
		})
	}
	t.Run("the next events", func(t *testing.T) {
		next := func(id string) string { return rawStream(id, 3, hgsite.Events) }
		second.Store(&next)
		wantStream(t, callWithin(t, s, hgsite.Turn(hgsite.ChatPath, "resumed", "", "x"), answerLimit))
	})
}

// Guards against a broken stream that another replica begins anew because its events bear no identifiers to go on from.
func TestStreamWithoutIdentifiersIsNotResumed(t *testing.T) {
	s := newSite(t, 1)
	var sends atomic.Int64
	useRawReplica(t, s, func(_ int, q rawRequest) (data string, ran, end bool) {
		if sends.Add(1) == 1 {
			return rawStreamHead(q.ID) + rawChunk("data: word1\n\ndata: word2\n\n"), true, true
		}
		return rawStream(q.ID, 1, hgsite.Events), true, false
	})
	reply := callWithin(t, s, hgsite.Turn(hgsite.ChatPath, "unnumbered", "", "x"), answerLimit)
	if diff := cmp.Diff("data: word1\n\ndata: word2\n\n", reply.Body); diff != "" || reply.Complete {
		t.Errorf("complete %v, stream (-want +got):\n%s", reply.Complete, diff)
	}
}

// A turn that is retained is sent to no second replica once its stream has begun.
func TestBrokenRetainedStreamIsNotContinued(t *testing.T) {
	s := newSite(t, 1)
	r := useRawReplica(t, s, func(_ int, q rawRequest) (data string, ran, end bool) {
		return rawStreamHead(q.ID) + rawChunk(rawEvents(1, 2)), true, true
	})
	q := hgsite.Turn(hgsite.ThreadPath, "retained", "", "x")
	reply := callWithin(t, s, q, answerLimit)
	if diff := cmp.Diff(rawEvents(1, 2), reply.Body); diff != "" || reply.Complete {
		t.Errorf("complete %v, stream (-want +got):\n%s", reply.Complete, diff)
	}
	if n := r.Runs()[q.ID]; n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// Guards against a replica that switches protocols and then says nothing, whose connection no deadline of the request ends.
func TestSwitchedProtocolEndsInTime(t *testing.T) {
	s := newSite(t, 1)
	useRawReplica(t, s, func(_ int, q rawRequest) (data string, ran, end bool) {
		return rawHead("101 Switching Protocols", hgattempt.Answer{AttemptID: q.ID, Sealed: true}, "Connection: Upgrade", "Upgrade: x"), true, false
	})
	for name, path := range map[string]string{"check": hgsite.CheckPath, "charge": hgsite.ChargePath, "chat": hgsite.ChatPath, "thread": hgsite.ThreadPath} {
		t.Run(name, func(t *testing.T) {
			if reply := callWithin(t, s, hgsite.Turn(path, name, "", name), answerLimit); reply.Status != http.StatusBadGateway {
				t.Errorf("status %d, want 502", reply.Status)
			}
		})
	}
}
