package hgsite_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgattempt"
)

// Helpers that fan out fill the replica that keeps their common history; those that run elsewhere fetch it from there.
func TestHelpersFetch(t *testing.T) {
	s := newSite(t, 3)
	parent := hgsite.Turn(hgsite.ThreadPath, "p", "", "input ")
	parent.TokensIn = 9000
	parent.Prefix = []hgattempt.Part{{ID: "history", Tokens: 9000}}
	wantStream(t, call(t, s, 0, parent))
	home := s.Runs(hgsite.Engines)[0].Replica
	for _, id := range []string{"engine-0", "engine-1"} {
		s.Replicas[id].SetPause(60 * time.Millisecond)
	}
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Go(func() {
			q := hgsite.Turn(hgsite.ThreadPath, "p", parent.ID, "x")
			q.TokensIn = 9100
			q.Prefix = append(parent.Prefix, hgattempt.Part{ID: fmt.Sprint("helper", i), Tokens: 100})
			if reply, err := s.Call(context.Background(), 0, q); err != nil || !reply.Whole {
				t.Errorf("helper %d: %d %v", i, reply.Status, err)
			}
		})
	}
	wg.Wait()
	helpers := s.Runs(hgsite.Engines)[1:]
	away := lo.Filter(helpers, func(r hgsite.Run, _ int) bool { return r.Replica != home })
	if len(away) < 5 || len(away) > 25 {
		t.Errorf("%d of 30 helpers ran away from the history", len(away))
	}
	// While a replica is idle, reading costs less than moved memory is charged.
	const idle = 3
	if n := lo.CountBy(away, func(r hgsite.Run) bool { return r.FetchFrom == "" }); n > idle {
		t.Errorf("%d of %d helpers away from the history read it, want at most %d", n, len(away), idle)
	}
	for _, r := range helpers {
		if r.FetchFrom != "" && (r.Replica == home || r.FetchFrom != s.Replicas[home].Entry.Address) {
			t.Errorf("helper on %s fetches from %q", r.Replica, r.FetchFrom)
		}
	}
}

// Turns go on when the VM that places them ends without word, and through a VM that asks another one.
func TestPlacerDies(t *testing.T) {
	s := newSite(t, 4)
	wantStream(t, call(t, s, 3, hgsite.Turn(hgsite.ChatPath, "before", "", "x")))
	s.Kill(0)
	for i := range 5 {
		reply := call(t, s, 3, hgsite.Turn(hgsite.ChatPath, fmt.Sprint("after", i), "", "x"))
		wantStream(t, reply)
		if limit := 1200 * time.Millisecond; reply.Took > limit {
			t.Errorf("turn %d took %v, want %v at most", i, reply.Took, limit)
		}
	}
}
