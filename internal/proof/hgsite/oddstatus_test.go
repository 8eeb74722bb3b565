package hgsite_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgattempt"
)

// Guards against an answer of a replica in trouble whose status is none of HTTP and that a caller gets as an answer, or that counts as a
// promise that the request was not run.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	sealed := func(id string) hgattempt.Answer { return hgattempt.Answer{AttemptID: id, Sealed: true} }
	notRun := func(id string) hgattempt.Answer { return hgattempt.Answer{AttemptID: id, NotRun: true} }
	tests := map[string]func(id string) string{}
	for _, status := range []string{"000", "001", "+20", "099", "600", "999"} {
		tests[status+", sealed"] = func(id string) string { return rawHead(status+" Odd", sealed(id), "Content-Length: 4") + "done" }
		tests[status+", not run"] = func(id string) string { return rawHead(status+" Odd", notRun(id), "Content-Length: 0") }
		tests[status+", until close"] = func(id string) string { return rawHead(status+" Odd", sealed(id)) + "done" }
		tests[status+", after an early hint"] = func(id string) string {
			return "HTTP/1.1 103 Early Hints\r\n\r\n" + rawHead(status+" Odd", sealed(id), "Content-Length: 4") + "done"
		}
		tests[status+", events"] = func(id string) string {
			return rawHead(status+" Odd", sealed(id), "Content-Type: text/event-stream") + rawEvents(1, hgsite.Events)
		}
	}
	routes := map[string]struct {
		path     string
		mostRuns int
	}{
		"plain": {hgsite.CheckPath, 2}, "at most once": {hgsite.ChargePath, 1}, "resumable": {hgsite.ChatPath, 2}, "retained": {hgsite.ThreadPath, 1},
	}
	s := newSite(t, 1)
	var answer atomic.Pointer[func(id string) string]
	replica := useRawReplica(t, s, func(_ int, q rawRequest) (data string, ran, end bool) { return (*answer.Load())(q.ID), true, true })
	for name, bytes := range tests {
		for route, tt := range routes {
			t.Run(fmt.Sprint(name, ", ", route), func(t *testing.T) {
				answer.Store(&bytes)
				q := hgsite.Turn(tt.path, name+route, "", name+route)
				reply := callWithin(t, s, q, answerLimit)
				if diff := cmp.Diff(http.StatusBadGateway, reply.Status); diff != "" {
					t.Errorf("status (-want +got):\n%s", diff)
				}
				if n := replica.Runs()[q.ID]; n < 1 || n > tt.mostRuns {
					t.Errorf("ran %d times, want 1 to %d", n, tt.mostRuns)
				}
			})
		}
	}
}
