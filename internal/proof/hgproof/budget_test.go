package hgproof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/hgcall"
	"hyssopgrade/internal/serve/hgowner"
)

// TestBudgetHolds lets sub-agents loop without end on one budget while the owner is killed: what the engines generated
// and read for the program, lost dispatches included, stays within the budget, and no reservation stays.
func TestBudgetHolds(t *testing.T) {
	b := newBench(t, benchOptions{nodes: 4, engines: 2, tools: 1, engine: quickEngine})
	const budget, agents = 3000, 4
	root := model("loop", 1, "begin")
	root.Budget = budget
	if _, err := b.client.Call(t.Context(), root); err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for i := range agents {
		id := fmt.Sprintf("loop/agent-%d", i)
		wg.Go(func() {
			for seq := uint64(1); ; seq++ {
				if _, err := b.client.Call(t.Context(), model(id, seq, "again and again")); err != nil {
					if diff := cmp.Diff(hgcall.ReasonBudget, refusalOf(err).Reason); diff != "" {
						t.Errorf("end of %s (-want +got):\n%s", id, diff)
					}
					return
				}
			}
		})
	}
	time.Sleep(150 * time.Millisecond)
	b.kill(b.owner("loop"))
	wg.Wait()
	used := uint64(0)
	for _, x := range b.record() {
		used += x.Tokens + newTokens(x.Request)
	}
	t.Logf("used %d of %d tokens in %d executions", used, budget, len(b.record()))
	if used > budget || used < budget/4 {
		t.Errorf("engines used %d of %d tokens", used, budget)
	}
	b.eventually("no reservation stays", 5*time.Second, func() bool {
		var s hgowner.ProgramStatus
		for _, n := range b.nodes {
			if b.client.Get(t.Context(), n.public, "/v1/programs/status?program=loop", &s) == nil {
				return s.Reserved == 0 && s.Spent <= budget
			}
		}
		return false
	})
}

// newTokens returns the tokens that a request of the test adds to its program: its message and the answer before it.
func newTokens(request string) uint64 {
	if request == "loop-1" {
		return 3
	}
	return 6
}
