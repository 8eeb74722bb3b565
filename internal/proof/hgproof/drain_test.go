package hgproof

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"hyssopgrade/internal/serve/hgcaller"
)

// TestGracefulStop stops a node by SIGTERM under load, with streams of 3 s in progress and callers that go on sending calls to its
// address. No caller may have to send a request twice, the process has to exit with status 0, and the other nodes have to own all shards.
func TestGracefulStop(t *testing.T) {
	slow := quickEngine
	slow.TokenTime = 100 * time.Millisecond
	b := newTestBench(t, testBenchOptions{nodes: 3, engines: 3, tools: 1, engine: slow})
	old := hgcaller.NewClient(b.nodes[1].public)
	defer old.Close()
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			c := model(fmt.Sprintf("long-%d", i), 1, "a long answer")
			c.MaxTokens = 30
			a, err := old.Call(t.Context(), c)
			if err != nil || a.Tries != 1 {
				t.Errorf("%s: sent %d times: %v", c.Request, a.Tries, err)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	b.signal(1, syscall.SIGTERM)
	began := time.Now()
	for i := range 20 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			c := tool(fmt.Sprintf("late-%d", i), 1, "register/charge-fee", false)
			a, err := old.Call(t.Context(), c)
			if err != nil || a.Tries != 1 {
				t.Errorf("%s: sent %d times: %v", c.Request, a.Tries, err)
			}
		})
	}
	wg.Wait()
	select {
	case err := <-b.nodes[1].exited:
		b.nodes[1].exited <- err
		if err != nil {
			t.Errorf("exit: %v\n%s", err, b.nodes[1].out)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("the node did not exit within 20 s after the last answer\n%s", b.nodes[1].out)
	}
	t.Logf("exited %s after the signal", time.Since(began).Round(time.Millisecond))
	b.waitOwned(2)
}
