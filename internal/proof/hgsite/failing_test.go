package hgsite_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgsite"
)

// A replica that fails every request immediately always looks idle. Load balancing must not send it most of the requests.
func TestFailingReplicaGetsFewRequests(t *testing.T) {
	s := newSite(t, 3)
	s.Replicas["engine-0"].SetPause(20 * time.Millisecond)
	s.Replicas["engine-1"].SetFault(hgsite.Fault{Remaining: 10_000, Error: true})
	const callers, turns = 8, 12
	var failed atomic.Int64
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for i := range turns {
				q := hgsite.Turn(hgsite.ThreadPath, fmt.Sprintf("p%d-%d", c, i), "", "x")
				reply, err := s.Call(context.Background(), c%3, q)
				if err != nil || reply.Status != http.StatusOK {
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if n := failed.Load(); n > callers*turns/4 {
		t.Errorf("%d of %d turns failed, want a quarter at most", n, callers*turns)
	}
}
