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

// TestBudgetHolds runs sub-agents that loop without end on their root program's budget, and kills the owner meanwhile. The tokens that
// engines generate and newly read for the program have to stay within the budget, also counting dispatches whose answer was lost with
// the owner, and no reservation may be left over.
func TestBudgetHolds(t *testing.T) {
	b := newTestBench(t, testBenchOptions{nodes: 4, engines: 2, tools: 1, engine: quickEngine})
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
	for _, x := range b.executions() {
		used += x.Tokens + newTokens(x.Request)
	}
	t.Logf("used %d of %d tokens in %d executions", used, budget, len(b.executions()))
	if used > budget || used < budget/4 {
		t.Errorf("engines used %d of %d tokens", used, budget)
	}
	b.eventually("no tokens stay reserved", 5*time.Second, func() bool {
		var s hgowner.ProgramStatus
		for _, n := range b.nodes {
			if b.client.Get(t.Context(), n.public, "/v1/programs/status?program=loop", &s) == nil {
				return s.Reserved == 0 && s.Spent <= budget
			}
		}
		return false
	})
}

// newTokens returns the prompt tokens that a request of the test adds to its program's conversation: those of its message, and one for
// the previous answer as a message. The answer's other tokens were counted when they were generated.
func newTokens(request string) uint64 {
	if request == "loop-1" {
		return 3
	}
	return 6
}
