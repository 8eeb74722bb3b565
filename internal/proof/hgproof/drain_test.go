package hgproof

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"hyssopgrade/internal/serve/hgcaller"
)

// TestGracefulStop ends a node by SIGTERM under load, with long streams in progress and callers that hold its address:
// no request is cut, the process exits with 0, and the shards have other owners.
func TestGracefulStop(t *testing.T) {
	slow := quickEngine
	slow.TokenTime = 100 * time.Millisecond
	b := newBench(t, benchOptions{nodes: 3, engines: 3, tools: 1, engine: slow})
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
	case err := <-b.nodes[1].stopped:
		b.nodes[1].stopped <- err
		if err != nil {
			t.Errorf("exit: %v\n%s", err, b.nodes[1].out)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("the node did not end\n%s", b.nodes[1].out)
	}
	t.Logf("ended %s after the signal", time.Since(began).Round(time.Millisecond))
	b.waitOwned(2)
}
