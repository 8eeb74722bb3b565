package hgproof

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/proof/hgstandin"
)

// startLoad runs programs that send one call after the other until stop is called. It ignores the calls' outcomes.
func (b *testBench) startLoad(programs int) (stop func()) {
	ctx, cancel := context.WithCancel(b.t.Context())
	var wg sync.WaitGroup
	for i := range programs {
		wg.Go(func() {
			for seq := uint64(1); ctx.Err() == nil; seq++ {
				_, _ = b.client.Call(ctx, model(fmt.Sprintf("load-%d", i), seq, "more"))
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// TestLeavingEndpointGetsNoNewWork announces that an endpoint leaves, in one case by its load report while the VM list is 30 s old, in the
// other by the VM list alone. From 3 s after the announcement on, no call may start at the endpoint.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	announce := map[string]func(b *testBench){
		"by its report, list lags": func(b *testBench) {
			b.platform.Store.SetFault(hgstore.Fault{LagMs: 30_000})
			b.platform.Store.SetVMs([]hgstore.VM{{Address: b.endpoints["engine-0"].Address(), State: hgstore.VMLeaving}})
			b.endpoints["engine-0"].SetFault(hgstandin.Fault{Leaving: true})
		},
		"by the list": func(b *testBench) {
			b.platform.Store.SetVMs([]hgstore.VM{{Address: b.endpoints["engine-0"].Address(), State: hgstore.VMLeaving}})
		},
	}
	for name, fn := range announce {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestBench(t, testBenchOptions{nodes: 3, engines: 2, tools: 1, engine: quickEngine})
			b.platform.Store.SetVMs(nil)
			stop := b.startLoad(6)
			time.Sleep(300 * time.Millisecond)
			fn(b)
			limit := time.Now().Add(3 * time.Second).UnixMicro()
			before := len(b.endpoints["engine-0"].Executions())
			time.Sleep(4500 * time.Millisecond)
			stop()
			if before == 0 {
				t.Fatal("the endpoint had no work before it left")
			}
			for _, x := range b.endpoints["engine-0"].Executions() {
				if x.StartUs > limit {
					t.Fatalf("%s started %d ms after the limit", x.Request, (x.StartUs-limit)/1000)
				}
			}
		})
	}
}
