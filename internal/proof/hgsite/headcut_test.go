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
	refusal := func(id string) (data string, ran bool) {
		return rawHead("503 Service Unavailable", hgattempt.Answer{AttemptID: id, NotRun: true}, "Content-Length: 0"), false
	}
	brokenStream := func(id string) (data string, ran bool) { return rawStreamHead(id) + rawChunk(rawEvents(1, 2)), true }
	tests := map[string]struct {
		method, path string
		// before precedes the head that breaks off, and firstTry, unless it is nil, returns the answer to an earlier try.
		before   string
		firstTry func(id string) (data string, ran bool)
	}{
		"charge":                      {http.MethodPost, hgsite.ChargePath, "", nil},
		"check":                       {http.MethodGet, hgsite.CheckPath, "", nil},
		"HEAD of a check":             {http.MethodHead, hgsite.CheckPath, "", nil},
		"HEAD of a turn":              {http.MethodHead, hgsite.ThreadPath, "", nil},
		"turn":                        {http.MethodPost, hgsite.ChatPath, "", nil},
		"kept turn":                   {http.MethodPost, hgsite.ThreadPath, "", nil},
		"charge, after early hints":   {http.MethodPost, hgsite.ChargePath, "HTTP/1.1 103 Early Hints\r\n\r\n", nil},
		"turn, after a continue":      {http.MethodPost, hgsite.ThreadPath, "HTTP/1.1 100 Continue\r\n\r\n", nil},
		"charge, after a refusal":     {http.MethodPost, hgsite.ChargePath, "", refusal},
		"kept turn, after a refusal":  {http.MethodPost, hgsite.ThreadPath, "", refusal},
		"turn, after a broken stream": {http.MethodPost, hgsite.ChatPath, "", brokenStream},
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
				if tt.firstTry != nil && tries[q.ID] == 1 {
					data, ran := tt.firstTry(q.ID)
					return data, ran, ran
				}
				head := rawAnswer(q.ID)
				if tt.path == hgsite.ChatPath || tt.path == hgsite.ThreadPath {
					head = rawStreamHead(q.ID)
				}
				head, _, _ = strings.Cut(head, "\r\n\r\n")
				return tt.before + (head + "\r\n")[:min(cut, len(head)+2)], true, true
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
