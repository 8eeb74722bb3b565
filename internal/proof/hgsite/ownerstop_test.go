package hgsite_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/proof/hgsite"
)

// Guards against turns that are cut because the VM that owns their programs stops while they run: it has no more tokens for them,
// and does not keep them at their end.
func TestTurnsOutliveStopOfOwner(t *testing.T) {
	const (
		programs = 24
		events   = 60
		pause    = 100 * time.Millisecond
		// slowMs is a delay of the store, in milliseconds, with which turns are granted from the share of their owner, with few
		// tokens at first.
		slowMs = 150
	)
	tests := map[string]struct {
		// stops are the VMs that stop while the turns run. They restart, or are killed instead, if so said.
		stops            []int
		restarts, killed bool
	}{
		"owner":              {stops: []int{3}},
		"owner restarts":     {stops: []int{3}, restarts: true},
		"owner and entry VM": {stops: []int{0, 3}},
		"all but entry VM":   {stops: []int{1, 2, 3, 4, 5}},
		"owner is killed":    {stops: []int{3}, killed: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 6)
			d := hgsite.Desired(2)
			for i := range d.Routes {
				d.Routes[i].Timeout = 20 * time.Second
			}
			if err := s.SetDesired(d); err != nil {
				t.Fatal(err)
			}
			time.Sleep(applyLimit)
			turn := func(i int, previous string) hgsite.Request {
				q := hgsite.Turn(hgsite.ThreadPath, fmt.Sprint("p", i), previous, fmt.Sprint("input ", i))
				q.MaxTokensOut, q.Deadline = events*hgsite.TokensPerEvent, 20*time.Second
				// What the first turn leaves of its claim is too little for all of the second one.
				q.Budget = q.MaxTokensOut + hgsite.Events*hgsite.TokensPerEvent
				return q
			}
			first := make([]hgsite.Request, programs)
			for i := range first {
				first[i] = turn(i, "")
				wantStream(t, call(t, s, 0, first[i]))
			}
			for _, r := range s.Replicas {
				r.SetEvents(events)
				r.SetPause(pause)
				r.Entry.Slots = 32
				if err := s.Register(r.Entry); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(time.Second)
			s.Store.SetFault(hgstore.Fault{DelayMs: slowMs})
			time.Sleep(time.Second)
			var served atomic.Int64
			var wg sync.WaitGroup
			second := make([]hgsite.Request, programs)
			for i := range second {
				second[i] = turn(i, first[i].ID)
				wg.Go(func() {
					reply, err := s.Call(context.Background(), 0, second[i])
					if err == nil && reply.Status == http.StatusServiceUnavailable {
						return // The store was too slow for the turn to begin.
					}
					if served.Add(1); err != nil || reply.Status != http.StatusOK || !reply.Complete || len(reply.Events) != events {
						t.Errorf("program %d: %v, status %d, complete %v, %d events, after %v: %.60s", i, err, reply.Status, reply.Complete, len(reply.Events), reply.Took, reply.Body)
					}
				})
			}
			time.Sleep(700 * time.Millisecond)
			s.Store.SetFault(hgstore.Fault{})
			for _, i := range tt.stops {
				wg.Go(func() {
					if tt.killed {
						s.Kill(i)
						return
					}
					s.Nodes[i].Stop()
					if !tt.restarts {
						return
					}
					if err := s.RestartNode(i); err != nil {
						t.Error(err)
					}
				})
			}
			wg.Wait()
			if n := served.Load(); n < programs/2 {
				t.Errorf("only %d of %d turns began", n, programs)
			}
		})
	}
}
