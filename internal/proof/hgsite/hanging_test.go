package hgsite_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/operate/hgstatus"
	"hyssopgrade/internal/proof/hgsite"
)

// waitFor waits until a condition holds, and fails the test after the limit.
func waitFor(t *testing.T, what string, limit time.Duration, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// isSuspected reports whether a VM suspects a replica of hanging.
func isSuspected(s *hgsite.Site, node int, id string) bool {
	return lo.ContainsBy(s.Nodes[node].Status().Services, func(v hgstatus.Service) bool {
		return lo.ContainsBy(v.Replicas, func(r hgstatus.Replica) bool { return r.ID == id && r.Suspected })
	})
}

// charges returns the number of calls that cannot be repeated and ran on the replicas.
func charges(s *hgsite.Site, ids ...string) (n int) {
	for _, id := range ids {
		n += lo.CountBy(s.Replicas[id].Runs(), func(r hgsite.Run) bool { return strings.HasPrefix(r.URI, hgsite.ChargePath) })
	}
	return n
}

// Each call that cannot be repeated and goes to a hung replica is lost. All VMs must stop sending such calls there, repeatable ones
// must be answered, and the replicas must get calls again once they answer.
func TestHungToolsGetNoCalls(t *testing.T) {
	s := newSite(t, 4)
	for i := range 9 {
		id := fmt.Sprintf("tool-%d", i)
		if s.Replicas[id] == nil {
			if err := s.AddTool(id); err != nil {
				t.Fatal(err)
			}
		}
		s.Replicas[id].SetSlowness(100)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	// unanswered counts the repeatable requests without an answer that were sent while suspected was set.
	var suspected atomic.Bool
	var unanswered atomic.Int64
	for c := range 40 {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				q := hgsite.Request{Path: hgsite.ChargePath + "x", Body: fmt.Sprint(c, "/", i)}
				repeatable := i%2 == 0
				if repeatable {
					q.Path = hgsite.CheckPath + "x"
				}
				counts := suspected.Load()
				reply, err := s.Call(ctx, c%4, q)
				if counts && repeatable && ctx.Err() == nil && (err != nil || reply.Status != http.StatusOK) {
					unanswered.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	hung := []string{"tool-0", "tool-4"}
	all := func(suspected bool) func() bool {
		return func() bool {
			return lo.EveryBy(hung, func(id string) bool {
				return lo.EveryBy(lo.Range(len(s.Nodes)), func(node int) bool { return isSuspected(s, node, id) == suspected })
			})
		}
	}
	waitFor(t, "the tools get calls", 20*time.Second, func() bool {
		return lo.EveryBy(hung, func(id string) bool { return charges(s, id) >= 5 })
	})
	for _, id := range hung {
		s.Replicas[id].SetFault(hgsite.Fault{Remaining: 1_000_000, Hang: true})
	}
	began := time.Now()
	waitFor(t, "all VMs suspect both tools", 20*time.Second, all(true))
	t.Logf("suspected everywhere after %v", time.Since(began))
	// Calls that a VM has placed before the verdict arrive within this time.
	time.Sleep(100 * time.Millisecond)
	before := charges(s, hung...)
	suspected.Store(true)
	time.Sleep(2 * time.Second)
	if n := charges(s, hung...) - before; n > 0 {
		t.Errorf("%d calls that cannot be repeated went to suspected tools in two seconds, want none", n)
	}
	if !all(true)() {
		t.Error("the verdict has ended while the tools hang")
	}
	for _, id := range hung {
		s.Replicas[id].SetFault(hgsite.Fault{})
	}
	waitFor(t, "no VM suspects the tools", 15*time.Second, all(false))
	before = charges(s, hung...)
	waitFor(t, "the tools get calls again", 20*time.Second, func() bool { return charges(s, hung...) >= before+5 })
	if n := unanswered.Load(); n > 0 {
		t.Errorf("%d repeatable requests after the verdict had no answer", n)
	}
}
