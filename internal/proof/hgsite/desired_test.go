package hgsite_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgdesired"
)

// Guards against running turns that are cut by a desired state, and against turns that are not found after it.
func TestTurnsOutliveDesiredStates(t *testing.T) {
	const (
		programs = 8
		events   = 20
		pause    = 100 * time.Millisecond
	)
	tests := map[string]func(d *hgdesired.State){
		"route is dropped":  func(d *hgdesired.State) { d.Routes = d.Routes[:1] },
		"all are dropped":   func(d *hgdesired.State) { d.Routes = nil },
		"service is gone":   func(d *hgdesired.State) { delete(d.Services, hgsite.Engines) },
		"other service":     func(d *hgdesired.State) { d.Routes[1].Shares = d.Routes[2].Shares },
		"no longer kept":    func(d *hgdesired.State) { d.Routes[1].Retain = false },
		"kept for less":     func(d *hgdesired.State) { d.Routes[1].RetainFor = time.Millisecond },
		"shorter timeout":   func(d *hgdesired.State) { d.Routes[1].Timeout = 500 * time.Millisecond },
		"smaller bodies":    func(d *hgdesired.State) { d.Limits.MaxBodyBytes = 1 },
		"other engine":      func(d *hgdesired.State) { d.Services[hgsite.Engines].Engine.TokensPerEvent = 100 },
		"shorter idle time": func(d *hgdesired.State) { d.Limits.IdleTimeout = 100 * time.Millisecond },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 2)
			for _, r := range s.Replicas {
				r.SetEvents(events)
				r.SetPause(pause)
			}
			var wg sync.WaitGroup
			turns := make([]hgsite.Request, programs)
			for i := range turns {
				turns[i] = hgsite.Turn(hgsite.ThreadPath, fmt.Sprint("p", i), "", fmt.Sprint("first ", i))
				turns[i].MaxTokensOut = events * hgsite.TokensPerEvent
				wg.Go(func() {
					reply, err := s.Call(context.Background(), i%2, turns[i])
					if err != nil || reply.Status != http.StatusOK || !reply.Complete || len(reply.Events) != events {
						t.Errorf("turn %d: %v, status %d, complete %v, %d events", i, err, reply.Status, reply.Complete, len(reply.Events))
					}
				})
			}
			time.Sleep(3 * pause)
			d := hgsite.Desired(2)
			change(d)
			if err := s.SetDesired(d); err != nil {
				t.Fatal(err)
			}
			wg.Wait()
			if err := s.SetDesired(hgsite.Desired(3)); err != nil {
				t.Fatal(err)
			}
			output := s.Replicas["engine-0"].Output()
			for _, r := range s.Replicas {
				r.SetEvents(hgsite.Events)
				r.SetPause(time.Millisecond)
			}
			time.Sleep(applyLimit)
			for i, first := range turns {
				next := hgsite.Turn(hgsite.ThreadPath, first.Program, first.ID, "second")
				reply := call(t, s, (i+1)%2, next)
				if want := first.Body + output + "second"; reply.Status != http.StatusOK || !reply.Complete || bodyOf(s, next.ID) != want {
					t.Errorf("turn after %d: status %d, complete %v: %.80s", i, reply.Status, reply.Complete, reply.Body)
				}
			}
		})
	}
}
