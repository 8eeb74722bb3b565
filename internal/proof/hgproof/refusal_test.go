package hgproof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgpreset"
)

// TestNotRunNeverRuns overloads the engine with requests that are each sent through two nodes. It then kills a node and repeats, under the
// same identifiers, the requests that were refused as "not run". These have to be refused in the same way, and no endpoint may have recorded
// them: after such a refusal a caller may send its request under a new identifier, so that it would run twice.
func TestNotRunNeverRuns(t *testing.T) {
	slow := quickEngine
	slow.TokenTime = 20 * time.Millisecond
	b := newTestBench(t, testBenchOptions{nodes: 4, engines: 1, tools: 1, engine: slow})
	b.usePreset("tight", func(p *hgpreset.Preset) {
		p.Window, p.MinWindow, p.MaxWindow, p.MaxNewWaitMs = 1, 1, 1, 300
	})
	var mu sync.Mutex
	refused := map[string]hgcall.Call{}
	var wg sync.WaitGroup
	for i := range 60 {
		c := model(fmt.Sprintf("crowd-%d", i), 1, "let me in")
		c.Deadline = 3 * time.Second
		for via := range 2 {
			client := b.via(via)
			wg.Go(func() {
				_, err := client.Call(t.Context(), c)
				if refusalOf(err).Kind == hgcall.KindNotRun {
					mu.Lock()
					defer mu.Unlock()
					refused[c.Request] = c
				}
			})
		}
	}
	wg.Wait()
	if len(refused) == 0 {
		t.Fatal("nothing was refused as not run")
	}
	b.kill(3)
	for _, c := range refused {
		client := b.via(2)
		wg.Go(func() {
			_, err := client.Call(t.Context(), c.WithDeadline(15*time.Second))
			if kind := refusalOf(err).Kind; kind != hgcall.KindNotRun {
				t.Errorf("%s was refused as not run and later as %q", c.Request, kind)
			}
		})
	}
	wg.Wait()
	t.Logf("%d of 60 requests were refused as not run", len(refused))
	for id := range refused {
		if n := len(b.runs(id)); n > 0 {
			t.Errorf("%s was refused as not run and ran %d times", id, n)
		}
	}
}
