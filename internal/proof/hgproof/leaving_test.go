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

// load makes programs talk through all nodes until the returned function is called.
func (b *bench) load(programs int) (stop func()) {
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

// TestLeavingEndpointGetsNoNewWork lets an endpoint say that it leaves, while the VM list lags by 30 s, and another one
// leave by the list alone: neither starts a call 3 s after it said so, or was listed.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	leave := map[string]func(b *bench){
		"by its report, list lags": func(b *bench) {
			b.platform.Store.SetFault(hgstore.Fault{LagMs: 30_000})
			b.platform.Store.SetVMs([]hgstore.VM{{Address: b.endpoints["engine-0"].Address(), State: hgstore.VMLeaving}})
			b.endpoints["engine-0"].SetFault(hgstandin.Fault{Leaving: true})
		},
		"by the list": func(b *bench) {
			b.platform.Store.SetVMs([]hgstore.VM{{Address: b.endpoints["engine-0"].Address(), State: hgstore.VMLeaving}})
		},
	}
	for name, fn := range leave {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t, benchOptions{nodes: 3, engines: 2, tools: 1, engine: quickEngine})
			b.platform.Store.SetVMs(nil)
			stop := b.load(6)
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
