package hgsite_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgattempt"
	hgplatform "hyssopgrade/platform"
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

// Guards against a refusal without an identifier that counts as the answer to a request, on a new connection too: replicas name the
// request in their answers, so that it may belong to another one. With the identifier another replica runs the request.
func TestRefusalOnNewConnectionCountsWithIdentifier(t *testing.T) {
	for name, named := range map[string]bool{"with identifier": true, "without": false} {
		t.Run(name, func(t *testing.T) { testRefusalOnNewConnection(t, named) })
	}
}

func testRefusalOnNewConnection(t *testing.T, named bool) {
	s := newSite(t, 1)
	var mu sync.Mutex
	atRefusing := map[string]bool{}
	var refused atomic.Int64
	r := useRawReplica(t, s, func(_ int, q rawRequest) (data string, ran, end bool) {
		if q.Replica == "tool-0" {
			refused.Add(1)
			mu.Lock()
			defer mu.Unlock()
			atRefusing[q.ID] = true
			a := hgattempt.Answer{NotRun: true}
			if named {
				a.AttemptID = q.ID
			}
			return rawHead("503 Service Unavailable", a, "Content-Length: 0", "Connection: close"), false, true
		}
		return rawAnswer(q.ID), true, false
	})
	statuses := map[string]int{}
	for range 40 {
		q := charge(0)
		q.ID = hgsite.NewAttempt()
		statuses[q.ID] = call(t, s, 0, q).Status
		mu.Lock()
		want := http.StatusOK
		if atRefusing[q.ID] && !named {
			want = http.StatusBadGateway
		}
		mu.Unlock()
		if statuses[q.ID] != want {
			t.Errorf("status %d, want %d", statuses[q.ID], want)
		}
	}
	wantPromisesKept(t, r.Runs(), statuses)
	if refused.Load() == 0 {
		t.Error("no request was refused")
	}
}

// Guards against a replica's status, after it ran a request, that promises the caller that the request did not run.
func TestStatusOfReplicaIsNoFalsePromise(t *testing.T) {
	const lost = http.StatusBadGateway
	tests := map[string]struct {
		path, status string
		want         int
	}{
		"charge, unavailable":       {hgsite.ChargePath, "503 Service Unavailable", lost},
		"charge, too many requests": {hgsite.ChargePath, "429 Too Many Requests", lost},
		"charge, timeout":           {hgsite.ChargePath, "408 Request Timeout", lost},
		"charge, failed":            {hgsite.ChargePath, "500 Internal Server Error", http.StatusInternalServerError},
		"charge, not found":         {hgsite.ChargePath, "404 Not Found", http.StatusNotFound},
		"charge, payment required":  {hgsite.ChargePath, "402 Payment Required", http.StatusPaymentRequired},
		"check, unavailable":        {hgsite.CheckPath, "503 Service Unavailable", http.StatusServiceUnavailable},
		"check, too many requests":  {hgsite.CheckPath, "429 Too Many Requests", http.StatusTooManyRequests},
		"turn, unavailable":         {hgsite.ThreadPath, "503 Service Unavailable", lost},
		"turn, too many requests":   {hgsite.ThreadPath, "429 Too Many Requests", lost},
		"turn, payment required":    {hgsite.ThreadPath, "402 Payment Required", lost},
		"chat, payment required":    {hgsite.ChatPath, "402 Payment Required", lost},
		"turn, failed":              {hgsite.ThreadPath, "500 Internal Server Error", http.StatusInternalServerError},
		"turn, bad request":         {hgsite.ThreadPath, "400 Bad Request", http.StatusBadRequest},
		"first turn, not found":     {hgsite.ThreadPath, "404 Not Found", http.StatusNotFound},
	}
	s := newSite(t, 1)
	var status atomic.Pointer[string]
	useRawReplica(t, s, func(_ int, q rawRequest) (data string, ran, end bool) {
		return rawHead(*status.Load(), hgattempt.Answer{AttemptID: q.ID, Sealed: true}, "Content-Length: 4") + "done", true, false
	})
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			status.Store(&tt.status)
			reply := call(t, s, 0, hgsite.Turn(tt.path, name, "", name))
			if reply.Status != tt.want {
				t.Errorf("status %d, want %d", reply.Status, tt.want)
			}
			if sealed := hgplatform.Sealed(reply.Header); sealed != (tt.want != lost) {
				t.Errorf("the answer carries the seal of the replica: %v", sealed)
			}
		})
	}
}

// Guards against a replica's 404 or 410 that tells the caller that its answered turn does not exist.
func TestStatusOfReplicaDoesNotDenyATurn(t *testing.T) {
	s := newSite(t, 1)
	var status atomic.Pointer[string]
	useRawReplica(t, s, func(_ int, q rawRequest) (data string, ran, end bool) {
		if q.Previous == "" {
			return rawStream(q.ID, 1, hgsite.Events), true, false
		}
		return rawHead(*status.Load(), hgattempt.Answer{AttemptID: q.ID, Sealed: true}, "Content-Length: 4") + "done", true, false
	})
	first := hgsite.Turn(hgsite.ThreadPath, "denied", "", "x")
	wantStream(t, call(t, s, 0, first))
	for _, denial := range []string{"404 Not Found", "410 Gone"} {
		t.Run(denial, func(t *testing.T) {
			status.Store(&denial)
			reply := call(t, s, 0, hgsite.Turn(hgsite.ThreadPath, "denied", first.ID, "y"))
			if reply.Status != http.StatusBadGateway || hgplatform.Sealed(reply.Header) {
				t.Errorf("status %d, sealed %v, want 502 without a seal", reply.Status, hgplatform.Sealed(reply.Header))
			}
		})
	}
}

// Guards against a refusal whose body never ends and holds its request up until the deadline.
func TestRefusalWithoutEndLetsRequestGoOn(t *testing.T) {
	s := newSite(t, 1)
	var refused atomic.Int64
	r := useRawReplica(t, s, func(_ int, q rawRequest) (data string, ran, end bool) {
		if q.Replica == "tool-0" {
			refused.Add(1)
			return rawHead("503 Service Unavailable", hgattempt.Answer{AttemptID: q.ID, NotRun: true}, "Content-Length: 100") + "full", false, false
		}
		return rawAnswer(q.ID), true, false
	})
	statuses := map[string]int{}
	for range 200 {
		q := charge(0)
		q.ID = hgsite.NewAttempt()
		reply := callWithin(t, s, q, answerLimit)
		if statuses[q.ID] = reply.Status; reply.Status != http.StatusOK || reply.Took > time.Second {
			t.Errorf("status %d after %v, want 200 at once", reply.Status, reply.Took)
		}
		if refused.Load() > 2 {
			break
		}
	}
	wantPromisesKept(t, r.Runs(), statuses)
	if refused.Load() == 0 {
		t.Error("no request was refused")
	}
}

// Guards against a success that also says that it did not run the request, after which another replica ran it again.
func TestSuccessIsNoRefusal(t *testing.T) {
	for name, path := range map[string]string{"charge": hgsite.ChargePath, "turn": hgsite.ThreadPath} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1)
			r := useRawReplica(t, s, func(_ int, q rawRequest) (data string, ran, end bool) {
				answer := hgattempt.Answer{AttemptID: q.ID, Sealed: true, NotRun: true}
				return rawHead("200 OK", answer, "Content-Type: text/event-stream", "Connection: close") + rawEvents(1, hgsite.Events), true, true
			})
			q := hgsite.Turn(path, name, "", "x")
			reply := callWithin(t, s, q, answerLimit)
			wantPromisesKept(t, r.Runs(), map[string]int{q.ID: reply.Status})
			wantStream(t, reply)
		})
	}
}
