package hgsite_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgsite"
)

// Guards against requests that come late in a planned stop, on connections whose answer began before it, and were passed on to be cut at its
// end although they ran. What may not end in time has to be refused, and what may has to be served.
func TestRequestLateInStop(t *testing.T) {
	const (
		grace  = 4 // seconds
		events = 20
		// pause is that before each event of a stream. Streams begin two pauses before the stop, and the requests come at their end, 2.2 s
		// after it. The VM cuts what is under way 700 ms before the end of the grace time.
		pause   = 120 * time.Millisecond
		callers = 4
	)
	tests := map[string]struct {
		request hgsite.Request
		// deadline is the caller's, and work the time that a tool takes.
		deadline, work time.Duration
		status, runs   int
	}{
		"charge that may not end":   {hgsite.Request{Path: hgsite.ChargePath + "x", Body: "x"}, 4 * time.Second, 1500 * time.Millisecond, http.StatusServiceUnavailable, 0},
		"charge with little time":   {hgsite.Request{Path: hgsite.ChargePath + "x", Body: "x"}, 400 * time.Millisecond, 50 * time.Millisecond, http.StatusOK, 1},
		"check":                     {hgsite.Request{Path: hgsite.CheckPath + "x", Body: "x"}, 4 * time.Second, 10 * time.Millisecond, http.StatusOK, 1},
		"check that does not end":   {hgsite.Request{Path: hgsite.CheckPath + "x", Body: "x"}, 4 * time.Second, 1500 * time.Millisecond, http.StatusGatewayTimeout, 1},
		"turn that may not end":     {hgsite.Turn(hgsite.ChatPath, "late", "", "x"), 4 * time.Second, 0, http.StatusServiceUnavailable, 0},
		"kept turn that may not":    {hgsite.Turn(hgsite.ThreadPath, "late", "", "x"), 4 * time.Second, 0, http.StatusServiceUnavailable, 0},
		"kept turn with less time":  {hgsite.Turn(hgsite.ThreadPath, "late", "", "x"), 700 * time.Millisecond, 0, http.StatusOK, 1},
		"request of no known route": {hgsite.Request{Path: "/none/x", Body: "x"}, 4 * time.Second, 0, http.StatusNotFound, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 2)
			s.Configs[0].Bounds.GraceSeconds = grace
			s.Kill(0)
			if err := s.RestartNode(0); err != nil {
				t.Fatal(err)
			}
			time.Sleep(applyLimit)
			setReplicas := func(events int, pause time.Duration) {
				for _, r := range s.Replicas {
					r.SetEvents(events)
					r.SetPause(pause)
					if r.Entry.Service == hgsite.Tools {
						r.SetPause(tt.work)
					}
				}
			}
			setReplicas(events, pause)
			var wg sync.WaitGroup
			for i := range callers {
				wg.Go(func() {
					client := &http.Transport{}
					defer client.CloseIdleConnections()
					stream := hgsite.Turn(hgsite.ChatPath, fmt.Sprint("p", i), "", "x")
					stream.MaxTokensOut, stream.Via = events*hgsite.TokensPerEvent, client
					if reply, err := s.Call(context.Background(), 0, stream); err != nil || !reply.Complete || reply.Closes {
						t.Errorf("stream: %v, complete: %t, closes: %t", err, reply.Complete, reply.Closes)
					}
					setReplicas(hgsite.Events, hgsite.Pause)
					q := tt.request
					q.ID, q.Program, q.Deadline, q.Via, q.SendOnce = hgsite.NewAttempt(), q.Program+fmt.Sprint(i), tt.deadline, client, true
					reply, err := s.Call(context.Background(), 0, q)
					if err != nil || reply.Status != tt.status || !reply.Complete || !reply.Closes {
						t.Errorf("late request: %v, status %d, complete: %t, closes: %t: %s", err, reply.Status, reply.Complete, reply.Closes, reply.Body)
					}
					if ran := ranAt(s, q.ID); len(ran) != tt.runs {
						t.Errorf("the late request ran at %v, want %d runs", ran, tt.runs)
					}
				})
			}
			time.Sleep(2 * pause)
			s.Nodes[0].Stop()
			wg.Wait()
		})
	}
}
