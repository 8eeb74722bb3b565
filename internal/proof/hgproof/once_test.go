package hgproof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgstore"
	"hyssopgrade/internal/proof/hgstandin"
)

// TestAtMostOnce sends requests that may not be repeated, each through two nodes at the same time, while a fault is injected. None may run
// twice, and each that is answered as done has to have run.
func TestAtMostOnce(t *testing.T) {
	faults := map[string]func(b *testBench, victim int){
		"lost replies of the store":  func(b *testBench, _ int) { b.platform.Store.SetFault(hgstore.Fault{LoseReplies: 8}) },
		"lost replies of the tools":  func(b *testBench, _ int) { b.setFault("tool", hgstandin.Fault{LoseReplies: 8}) },
		"lost replies, no outcomes":  func(b *testBench, _ int) { b.setFault("tool", hgstandin.Fault{LoseReplies: 8, HideOutcomes: true}) },
		"owner killed":               func(b *testBench, victim int) { b.kill(victim) },
		"owner frozen past takeover": freezeAndResume,
		"owner killed, store failing": func(b *testBench, victim int) {
			b.platform.Store.SetFault(hgstore.Fault{LoseReplies: 8})
			b.kill(victim)
		},
	}
	for _, fencing := range []bool{false, true} {
		opts := quickEngine
		opts.ChecksFencing = fencing
		for name, fault := range faults {
			t.Run(fmt.Sprintf("%s, fencing %t", name, fencing), func(t *testing.T) {
				t.Parallel()
				b := newTestBench(t, testBenchOptions{nodes: 3, engines: 1, tools: 2, engine: opts})
				victim := b.owner("charge-0")
				atMostOnce(t, b, func() { fault(b, victim) })
			})
		}
	}
}

// freezeAndResume suspends a node for 4 s, which is longer than it takes the others to take its shards over.
func freezeAndResume(b *testBench, victim int) {
	b.freeze(victim)
	time.AfterFunc(4*time.Second, func() { b.resume(victim) })
}

// atMostOnce sends 40 requests, 3 ms apart, injects the fault after half of them, and checks how often each ran.
func atMostOnce(t *testing.T, b *testBench, fault func()) {
	var mu sync.Mutex
	done := map[string]bool{}
	var wg sync.WaitGroup
	for i := range 40 {
		c := tool(fmt.Sprintf("charge-%d", i), 1, "payment/charge", false)
		c.Body = fmt.Appendf(nil, `{"durationMs":%d}`, 10+i%5*20)
		for via := range 2 {
			client := b.via((i + via) % 3)
			wg.Go(func() {
				a, err := client.Call(t.Context(), c)
				mu.Lock()
				defer mu.Unlock()
				done[c.Request] = done[c.Request] || err == nil && a.State == hgcall.Done
			})
		}
		time.Sleep(3 * time.Millisecond)
		if i == 20 {
			fault()
		}
	}
	wg.Wait()
	time.Sleep(time.Second)
	answered := 0
	for request, ok := range done {
		n := len(b.runs(request))
		if n > 1 || ok && n != 1 {
			t.Errorf("%s ran %d times, answered as done: %t", request, n, ok)
		}
		if ok {
			answered++
		}
	}
	t.Logf("%d of 40 answered as done", answered)
}
