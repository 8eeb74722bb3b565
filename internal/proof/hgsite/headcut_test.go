package hgsite_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgattempt"
)

// Guards against answers whose head breaks off in the middle and that reach callers as a success with an empty or short body.
func TestReplicaStopsInHeadOfAnswer(t *testing.T) {
	refusal := func(id string) string {
		return rawHead("503 Service Unavailable", hgattempt.Answer{AttemptID: id, NotRun: true}, "Content-Length: 0") + ""
	}
	brokenStream := func(id string) string { return rawStreamHead(id) + rawChunk(rawEvents(1, 2)) }
	tests := map[string]struct {
		method, path string
		// before returns what precedes the head that breaks off, in the same answer or, with a try of its own, in an earlier one.
		before func(id string) string
		ownTry bool
	}{
		"charge":                      {http.MethodPost, hgsite.ChargePath, nil, false},
		"check":                       {http.MethodGet, hgsite.CheckPath, nil, false},
		"HEAD of a check":             {http.MethodHead, hgsite.CheckPath, nil, false},
		"HEAD of a turn":              {http.MethodHead, hgsite.ThreadPath, nil, false},
		"turn":                        {http.MethodPost, hgsite.ChatPath, nil, false},
		"kept turn":                   {http.MethodPost, hgsite.ThreadPath, nil, false},
		"charge, after early hints":   {http.MethodPost, hgsite.ChargePath, func(string) string { return "HTTP/1.1 103 Early Hints\r\n\r\n" }, false},
		"turn, after a continue":      {http.MethodPost, hgsite.ThreadPath, func(string) string { return "HTTP/1.1 100 Continue\r\n\r\n" }, false},
		"charge, after a refusal":     {http.MethodPost, hgsite.ChargePath, refusal, true},
		"kept turn, after a refusal":  {http.MethodPost, hgsite.ThreadPath, refusal, true},
		"turn, after a broken stream": {http.MethodPost, hgsite.ChatPath, brokenStream, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1)
			var mu sync.Mutex
			cut, tries := 0, map[string]int{}
			r := useRawReplica(t, s, func(_ int, q rawRequest) (string, bool, bool) {
				mu.Lock()
				defer mu.Unlock()
				tries[q.ID]++
				if strings.HasPrefix(q.Body, "whole") {
					return rawAnswer(q.ID), true, false
				}
				before := ""
				if tt.before != nil {
					if before = tt.before(q.ID); tt.ownTry && tries[q.ID] == 1 {
						return before, !strings.Contains(before, " 503 "), strings.Contains(before, " 200 ")
					}
				}
				if tt.ownTry {
					before = ""
				}
				head := rawAnswer(q.ID)
				if tt.path == hgsite.ChatPath || tt.path == hgsite.ThreadPath {
					head = rawStreamHead(q.ID)
				}
				head, _, _ = strings.Cut(head, "\r\n\r\n")
				return before + (head + "\r\n")[:min(cut, len(head)+2)], true, true
			})
			for _, kept := range []bool{false, true} {
				for _, n := range []int{0, 1, 9, 12, 15, 17, 30, 60, 1 << 10} {
					if kept {
						// The answer to this one leaves a connection to the replica open.
						call(t, s, 0, hgsite.Request{Path: hgsite.CheckPath + "x", Body: fmt.Sprint("whole", n)})
					}
					q := hgsite.Turn(tt.path, fmt.Sprint("p", kept, n), "", fmt.Sprint("x", kept, n))
					q.Method = tt.method
					mu.Lock()
					cut = n
					mu.Unlock()
					reply := call(t, s, 0, q)
					if reply.Status/100 == 2 && reply.Complete {
						t.Errorf("cut after %d bytes, kept connection: %t: status %d, whole: %q", n, kept, reply.Status, reply.Body)
					}
					if strings.Contains(reply.Body, "HTTP") || strings.Contains(reply.Body, "127.") || strings.Contains(reply.Body, "EOF") {
						t.Errorf("callers are told %q", reply.Body)
					}
					if ran := r.Runs()[q.ID]; ran == 0 {
						t.Errorf("cut after %d bytes: the request ran nowhere: status %d: %s", n, reply.Status, reply.Body)
					}
				}
			}
		})
	}
}
