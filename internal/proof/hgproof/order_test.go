package hgproof

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/samber/lo"

	"hyssopgrade/hgcall"
	"hyssopgrade/internal/proof/hgstandin"
)

// TestOrderAcrossNodes sends all calls of each program at the same time, in random order and through different nodes, and meanwhile kills
// a node that owns shards. Every call has to run, and none may start, or start again, after a later call of its program has started.
func TestOrderAcrossNodes(t *testing.T) {
	b := newTestBench(t, testBenchOptions{nodes: 4, engines: 2, tools: 2, engine: quickEngine})
	rnd := rand.New(rand.NewPCG(1, 0))
	const programs, calls = 8, 6
	var wg sync.WaitGroup
	for p := range programs {
		id := fmt.Sprintf("order-%d", p)
		for _, i := range rnd.Perm(calls) {
			c := model(id, uint64(i+1), fmt.Sprintf("%s message %d", id, i))
			if i%2 == 1 {
				c = tool(id, uint64(i+1), "register/lookup", true)
			}
			client := b.via(rnd.IntN(3))
			wg.Go(func() {
				if _, err := client.Call(t.Context(), c); err != nil {
					t.Errorf("call %s: %v", c.Request, err)
				}
			})
		}
	}
	time.Sleep(100 * time.Millisecond)
	b.kill(3)
	wg.Wait()
	for p := range programs {
		checkStarts(t, b.executions(), fmt.Sprintf("order-%d", p), calls)
	}
}

// checkStarts checks that the last start of each call of a program is earlier than the first start of the next call.
func checkStarts(t *testing.T, record []hgstandin.Execution, program string, calls int) {
	t.Helper()
	xs := lo.Filter(record, func(x hgstandin.Execution, _ int) bool { return x.Program == program })
	first := map[string]int64{}
	last := map[string]int64{}
	for _, x := range xs {
		if first[x.Request] == 0 || x.StartUs < first[x.Request] {
			first[x.Request] = x.StartUs
		}
		last[x.Request] = max(last[x.Request], x.StartUs)
	}
	for i := 1; i < calls; i++ {
		before, after := fmt.Sprintf("%s-%d", program, i), fmt.Sprintf("%s-%d", program, i+1)
		if first[after] == 0 || last[before] >= first[after] {
			t.Errorf("%s started at %d, %s at %d", before, last[before], after, first[after])
		}
	}
}

// TestGapIsRefused sends call 3 of a program whose call 2 never arrives. The call has to end as unknown at its deadline
// without having run.
func TestGapIsRefused(t *testing.T) {
	b := newTestBench(t, testBenchOptions{nodes: 1, engines: 1, tools: 1, engine: quickEngine})
	if _, err := b.client.Call(t.Context(), model("gap", 1, "one")); err != nil {
		t.Fatal(err)
	}
	c := model("gap", 3, "three")
	c.Deadline = 2500 * time.Millisecond
	_, err := b.client.Call(t.Context(), c)
	if diff := cmp.Diff(hgcall.KindUnknown, refusalOf(err).Kind); diff != "" {
		t.Errorf("refusal kind at the deadline (-want +got):\n%s", diff)
	}
	if runs := b.runs(c.Request); len(runs) > 0 {
		t.Errorf("call after a gap ran: %v", runs)
	}
}
