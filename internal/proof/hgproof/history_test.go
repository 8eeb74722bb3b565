package hgproof

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgstore"
	"hyssopgrade/internal/proof/hgstandin"
	"hyssopgrade/internal/serve/hgfront"
)

// converse runs turns of a program one after the other, numbered from from, checks each answer, and returns the conversation that the
// caller has seen: the messages in seen and the new ones.
func (b *testBench) converse(ctx context.Context, program string, from, turns int, seen []hgcall.Message) []hgcall.Message {
	b.t.Helper()
	for i := from; i < from+turns; i++ {
		c := model(program, uint64(i), fmt.Sprintf("%s says %d", program, i))
		a, err := b.client.Call(ctx, c)
		if err != nil {
			b.t.Errorf("%s: %v", c.Request, err)
			return seen
		}
		seen = append(seen, c.Messages...)
		if diff := cmp.Diff(hgstandin.Answer(seen, c.MaxTokens), string(a.Body)); diff != "" {
			b.t.Errorf("answer to %s (-want +got):\n%s", c.Request, diff)
		}
		seen = append(seen, hgcall.Message{Role: "assistant", Content: string(a.Body)})
	}
	return seen
}

// checkHistory compares a program's history with the conversation that its caller has seen.
func (b *testBench) checkHistory(program string, seen []hgcall.Message) {
	b.t.Helper()
	var h hgfront.History
	b.eventually("history of "+program, benchTimeout, func() bool {
		for _, n := range b.nodes {
			if b.client.Get(b.t.Context(), n.public, "/v1/programs/history?program="+program, &h) == nil {
				return true
			}
		}
		return false
	})
	if diff := cmp.Diff(seen, h.Messages); diff != "" {
		b.t.Errorf("history of %s (-caller +system):\n%s", program, diff)
	}
}

// TestHistorySurvivesKills kills a program's owner at different times within a turn, and another program's owner right after an answer,
// while each store operation takes 40 ms longer. An acknowledged turn must not be lost, nor a turn appear twice.
func TestHistorySurvivesKills(t *testing.T) {
	b := newTestBench(t, testBenchOptions{nodes: 4, engines: 2, tools: 1, engine: quickEngine})
	programs := []string{"dispute-a", "dispute-b"}
	seen := map[string][]hgcall.Message{}
	var mu sync.Mutex
	b.platform.Store.SetFault(hgstore.Fault{DelayMs: 40})
	for round, delay := range []time.Duration{0, 30, 70, 110, 160} {
		var wg sync.WaitGroup
		for _, p := range programs {
			wg.Go(func() {
				got := b.converse(t.Context(), p, 3*round+1, 3, seen[p])
				mu.Lock()
				defer mu.Unlock()
				seen[p] = got
			})
		}
		time.Sleep(delay * time.Millisecond)
		victim := b.owner(programs[0])
		b.kill(victim)
		wg.Wait()
		second := b.owner(programs[1])
		b.kill(second)
		b.start(victim)
		if second != victim {
			b.start(second)
		}
		b.waitOwned(4)
	}
	for _, p := range programs {
		b.checkHistory(p, seen[p])
	}
}

// TestHistoryAfterFreeze suspends a program's owner in the middle of a turn until another node has taken its shards over, and resumes it.
// The old owner may neither commit its unfinished turn nor return it as part of the history.
func TestHistoryAfterFreeze(t *testing.T) {
	b := newTestBench(t, testBenchOptions{nodes: 4, engines: 2, tools: 1, engine: quickEngine})
	seen := b.converse(t.Context(), "frozen", 1, 2, nil)
	victim := b.owner("frozen")
	done := make(chan []hgcall.Message, 1)
	go func() { done <- b.converse(t.Context(), "frozen", 3, 3, seen) }()
	time.Sleep(8 * time.Millisecond)
	b.freeze(victim)
	seen = <-done
	b.resume(victim)
	seen = b.converse(t.Context(), "frozen", 6, 2, seen)
	b.checkHistory("frozen", seen)
	b.eventually("the resumed node sees all members", benchTimeout, func() bool {
		o, err := b.overview(victim)
		return err == nil && len(o.Members) == 4
	})
	b.checkHistory("frozen", seen)
}
