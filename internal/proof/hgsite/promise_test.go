package hgsite_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgattempt"
)

// isPromise reports whether a status tells the caller that its request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusPaymentRequired:
		return true
	}
	return false
}

// wantPromisesKept checks that no attempt ran twice, and that none ran whose answer promised that it did not.
func wantPromisesKept(t *testing.T, runs map[string]int, statuses map[string]int) {
	t.Helper()
	for id, n := range runs {
		if n > 1 {
			t.Errorf("attempt %s ran %d times", id, n)
		}
		if isPromise(statuses[id]) {
			t.Errorf("attempt %s ran and was answered with status %d", id, statuses[id])
		}
	}
}

// Guards against a replica's refusal of one request that is taken for the answer to the next one on the connection.
func TestRepeatedRefusalIsNoAnswerToTheNextRequest(t *testing.T) {
	const requests = 20
	tests := map[string]struct {
		path, status string
		// id is the attempt that the repeated refusal names.
		id string
	}{
		"charge":                       {hgsite.ChargePath, "503 Service Unavailable", ""},
		"charge, of another attempt":   {hgsite.ChargePath, "503 Service Unavailable", "stranger"},
		"charge, too many requests":    {hgsite.ChargePath, "429 Too Many Requests", ""},
		"charge, misdirected":          {hgsite.ChargePath, "421 Misdirected Request", ""},
		"turn":                         {hgsite.ThreadPath, "503 Service Unavailable", ""},
		"turn, of another attempt":     {hgsite.ThreadPath, "503 Service Unavailable", "stranger"},
		"turn, misdirected":            {hgsite.ThreadPath, "421 Misdirected Request", ""},
		"turn, bad request without id": {hgsite.ThreadPath, "400 Bad Request", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1)
			refusal := rawHead(tt.status, hgattempt.Answer{AttemptID: tt.id, NotRun: true}, "Content-Length: 0")
			var repeated atomic.Int64
			r := useRawReplica(t, s, func(n int, q rawRequest) (data string, ran, end bool) {
				answer := rawAnswer(q.ID)
				if tt.path == hgsite.ThreadPath {
					answer = rawStream(q.ID, 1, hgsite.Events)
				}
				if n == 1 {
					return answer, true, false
				}
				repeated.Add(1)
				return refusal + answer, true, false
			})
			statuses := map[string]int{}
			for i := range requests {
				q := hgsite.Turn(tt.path, fmt.Sprint("repeated ", i), "", "x")
				statuses[q.ID] = call(t, s, 0, q).Status
			}
			time.Sleep(100 * time.Millisecond)
			wantPromisesKept(t, r.Runs(), statuses)
			if repeated.Load() == 0 {
				t.Error("no refusal was repeated")
			}
		})
	}
}

// A refusal without an identifier that can only be the answer to its request lets another replica run the request.
func TestRefusalOnNewConnectionGoesOn(t *testing.T) {
	s := newSite(t, 1)
	var refused atomic.Int64
	r := useRawReplica(t, s, func(_ int, q rawRequest) (data string, ran, end bool) {
		if q.Replica == "tool-0" {
			refused.Add(1)
			return rawHead("503 Service Unavailable", hgattempt.Answer{NotRun: true}, "Content-Length: 0", "Connection: close"), false, true
		}
		return rawAnswer(q.ID), true, false
	})
	statuses := map[string]int{}
	for range 40 {
		q := charge(0)
		q.ID = hgsite.NewAttempt()
		if statuses[q.ID] = call(t, s, 0, q).Status; statuses[q.ID] != http.StatusOK {
			t.Errorf("status %d, want 200", statuses[q.ID])
		}
	}
	wantPromisesKept(t, r.Runs(), statuses)
	if refused.Load() == 0 {
		t.Error("no request was refused")
	}
}
