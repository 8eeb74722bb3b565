package hgsite_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgattempt"
)

// oddFields are lines of a head or trailer whose field name is none of HTTP.
var oddFields = map[string]string{
	"blank in a name":               "X Odd: 1",
	"blank behind a name":           "X-Odd : 1",
	"blank behind a length":         "Content-Length : 4",
	"blank behind another length":   "Content-Length : 2",
	"blank behind chunks":           "Transfer-Encoding : chunked",
	"blank behind the seal":         "X-Response-Seal : 1",
	"tab in a name":                 "X\tOdd: 1",
	"tab behind a length":           "Content-Length\t: 4",
	"0x00 in a name":                "X\x00Odd: 1",
	"0x01 in a name":                "X\x01Odd: 1",
	"0x7f in a name":                "X\x7fOdd: 1",
	"CR in a name":                  "X\rOdd: 1",
	"no name":                       ": 1",
	"CR behind a transfer encoding": "Transfer-Encoding\r: chunked",
}

// oddFieldRoutes are the routes of the tests of odd fields; a request runs at most mostRuns times.
var oddFieldRoutes = map[string]oddFieldRoute{
	"plain": {hgsite.CheckPath, 2}, "at most once": {hgsite.ChargePath, 1}, "resumable": {hgsite.ChatPath, 2}, "retained": {hgsite.ThreadPath, 1},
}

type oddFieldRoute struct {
	path     string
	mostRuns int
}

// oddFieldReplica stands in for all replicas of a site and answers all requests alike.
type oddFieldReplica struct {
	*rawReplica
	answer atomic.Pointer[func(id string) (data string, end bool)]
	// reused says that a connection was used again behind an answer.
	reused atomic.Bool
}

func useOddFieldReplica(t *testing.T, s *hgsite.Site) *oddFieldReplica {
	t.Helper()
	r := &oddFieldReplica{}
	r.rawReplica = useRawReplica(t, s, func(n int, q rawRequest) (data string, ran, end bool) {
		if n > 1 {
			r.reused.Store(true)
		}
		data, end = (*r.answer.Load())(q.ID)
		return data, true, end
	})
	return r
}

// call sends a request that the replica answers as given, and checks how often it was run and on which connections.
func (r *oddFieldReplica) call(t *testing.T, s *hgsite.Site, route oddFieldRoute, answer func(id string) (data string, end bool)) hgsite.Reply {
	t.Helper()
	r.answer.Store(&answer)
	r.reused.Store(false)
	q := hgsite.Turn(route.path, t.Name(), "", t.Name())
	reply := callWithin(t, s, q, answerLimit)
	if n := r.Runs()[q.ID]; n < 1 || n > route.mostRuns {
		t.Errorf("ran %d times, want 1 to %d", n, route.mostRuns)
	}
	if r.reused.Load() {
		t.Error("a connection was used again")
	}
	return reply
}

// Guards against an answer of a replica in trouble whose head holds a line that is no field. Callers get it as an answer, with a body that
// may be framed otherwise than its sender meant, or it counts as a promise that the request was not run.
func TestFieldNameThatIsNoneIsNoAnswer(t *testing.T) {
	sealed := func(id string) hgattempt.Answer { return hgattempt.Answer{AttemptID: id, Sealed: true} }
	heads := map[string]func(id, line string) (data string, end bool){
		"length": func(id, line string) (string, bool) {
			return rawHead("200 OK", sealed(id), line, "Content-Length: 4") + "done", false
		},
		"chunks": func(id, line string) (string, bool) {
			return rawHead("200 OK", sealed(id), line, "Transfer-Encoding: chunked") + rawChunk("done") + "0\r\n\r\n", false
		},
		"until close": func(id, line string) (string, bool) { return rawHead("200 OK", sealed(id), line) + "done", true },
		"no body":     func(id, line string) (string, bool) { return rawHead("204 No Content", sealed(id), line), false },
		"first line": func(id, line string) (string, bool) {
			return strings.Replace(rawAnswer(id), "\r\n", "\r\n"+line+"\r\n", 1), false
		},
		"failure": func(id, line string) (string, bool) {
			return rawHead("500 Internal Server Error", sealed(id), line, "Content-Length: 4") + "done", false
		},
		"refusal": func(id, line string) (string, bool) {
			return rawHead("503 Service Unavailable", hgattempt.Answer{AttemptID: id, NotRun: true}, line, "Content-Length: 0"), false
		},
		"early hint": func(id, line string) (string, bool) {
			return "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + rawAnswer(id), false
		},
		"events": func(id, line string) (string, bool) {
			return rawHead("200 OK", sealed(id), line, "Content-Type: text/event-stream") + rawEvents(1, hgsite.Events), true
		},
	}
	s := newSite(t, 1)
	replica := useOddFieldReplica(t, s)
	for field, line := range oddFields {
		for head, answer := range heads {
			for name, route := range oddFieldRoutes {
				t.Run(fmt.Sprint(field, ", ", head, ", ", name), func(t *testing.T) {
					reply := replica.call(t, s, route, func(id string) (data string, end bool) { return answer(id, line) })
					if diff := cmp.Diff(http.StatusBadGateway, reply.Status); diff != "" {
						t.Errorf("status (-want +got):\n%s%.100q", diff, reply.Body)
					}
				})
			}
		}
	}
}

// Guards against an answer that is whole although its trailer holds a line that is no field. The events of a stream that came before
// have been passed on, so that it is broken.
func TestFieldNameInTrailerEndsNoAnswer(t *testing.T) {
	s := newSite(t, 1)
	replica := useOddFieldReplica(t, s)
	for field, line := range oddFields {
		for name, route := range oddFieldRoutes {
			t.Run(fmt.Sprint(field, ", ", name), func(t *testing.T) {
				reply := replica.call(t, s, route, func(id string) (data string, end bool) {
					return strings.TrimSuffix(rawStream(id, 1, hgsite.Events), "\r\n") + line + "\r\n\r\n", false
				})
				if reply.Status/100 == 2 && reply.Complete {
					t.Errorf("status %d, whole: %.100q", reply.Status, reply.Body)
				}
			})
		}
	}
}

// A field that goes on in the next line is one of HTTP.
func TestFoldedFieldIsAnswer(t *testing.T) {
	s := newSite(t, 1)
	useRawReplica(t, s, func(_ int, q rawRequest) (data string, ran, end bool) {
		return strings.Replace(rawStream(q.ID, 1, hgsite.Events), "\r\n", "\r\nX-Folded: 1,\r\n  2\r\n", 1), true, false
	})
	for route, tt := range oddFieldRoutes {
		t.Run(route, func(t *testing.T) {
			reply := callWithin(t, s, hgsite.Turn(tt.path, route, "", route), answerLimit)
			if reply.Status != http.StatusOK || !reply.Complete {
				t.Errorf("status %d, complete %v: %s", reply.Status, reply.Complete, reply.Body)
			}
			if diff := cmp.Diff("1, 2", reply.Header.Get("X-Folded")); diff != "" {
				t.Errorf("field (-want +got):\n%s", diff)
			}
		})
	}
}
