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

// Parallel turns of helpers fill the replica that has their common history in its cache. Helpers placed on another replica
// fetch the history from there instead of computing it again.
func TestHelpersFetch(t *testing.T) {
	s := newSite(t, 3)
	parent := hgsite.Turn(hgsite.ThreadPath, "p", "", "input ")
	parent.TokensIn = 9000
	parent.Prefix = []hgattempt.Part{{ID: "history", Tokens: 9000}}
	wantStream(t, call(t, s, 0, parent))
	holder := s.Runs(hgsite.Engines)[0].Replica
	for _, id := range []string{"engine-0", "engine-1"} {
		s.Replicas[id].SetPause(60 * time.Millisecond)
	}
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Go(func() {
			q := hgsite.Turn(hgsite.ThreadPath, "p", parent.ID, "x")
			q.TokensIn = 9100
			q.Prefix = append(parent.Prefix, hgattempt.Part{ID: fmt.Sprint("helper", i), Tokens: 100})
			if reply, err := s.Call(context.Background(), 0, q); err != nil || !reply.Complete {
				t.Errorf("helper %d: %d %v", i, reply.Status, err)
			}
		})
	}
	wg.Wait()
	helpers := s.Runs(hgsite.Engines)[1:]
	elsewhere := lo.Filter(helpers, func(r hgsite.Run, _ int) bool { return r.Replica != holder })
	if len(elsewhere) < 5 || len(elsewhere) > 25 {
		t.Errorf("%d of 30 helpers ran on a replica without the history", len(elsewhere))
	}
	// While a replica is idle, computing the history again is cheaper than the cost charged for moving cache memory.
	const maxRecomputed = 3
	if n := lo.CountBy(elsewhere, func(r hgsite.Run) bool { return r.FetchFrom == "" }); n > maxRecomputed {
		t.Errorf("%d of %d helpers on a replica without the history computed it again, want at most %d", n, len(elsewhere), maxRecomputed)
	}
	for _, r := range helpers {
		if r.FetchFrom != "" && (r.Replica == holder || r.FetchFrom != s.Replicas[holder].Entry.Address) {
			t.Errorf("helper on %s fetches from %q", r.Replica, r.FetchFrom)
		}
	}
}

// After the placer VM is killed, turns are still served within the time limit by a VM that has to ask another VM for placement.
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
