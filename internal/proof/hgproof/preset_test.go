package hgproof

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/gravitational/trace"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgpreset"
	"hyssopgrade/hgstore"
	"hyssopgrade/internal/serve/hgfront"
)

// presets returns the status of the presets at node i.
func (b *testBench) presets(i int) (s hgfront.PresetStatus, err error) {
	ctx, cancel := context.WithTimeout(b.t.Context(), 500*time.Millisecond)
	defer cancel()
	return s, b.client.Get(ctx, b.nodes[i].public, "/v1/presets", &s)
}

// ready reports whether node i accepts new work.
func (b *testBench) ready(i int) bool {
	ctx, cancel := context.WithTimeout(b.t.Context(), 500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.nodes[i].public+"/readyz", nil)
	if err != nil {
		b.t.Fatal(err)
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer w.Body.Close()
	return w.StatusCode == http.StatusOK
}

// appliedBy returns the number of nodes that apply the given version of the preset.
func (b *testBench) appliedBy(number uint64) int {
	n := 0
	for i := range b.nodes {
		if s, err := b.presets(i); err == nil && s.Current.Number == number {
			n++
		}
	}
	return n
}

// TestPresetRaces selects two presets at the same time through different nodes, in eight rounds, while the store loses replies to commits.
// Each version may be accepted for one operator only, the other has to get a conflict error, and within 10 s all nodes have to apply the
// last version.
func TestPresetRaces(t *testing.T) {
	b := newTestBench(t, testBenchOptions{nodes: 3, engines: 1, tools: 1, engine: quickEngine})
	var mu sync.Mutex
	accepted := map[uint64]string{}
	for round := range 8 {
		b.platform.Store.SetFault(hgstore.Fault{LoseReplies: round % 3})
		var wg sync.WaitGroup
		for i, name := range []string{"peak", "maintenance"} {
			wg.Go(func() {
				var v hgpreset.Version
				by := fmt.Sprintf("operator-%d", i)
				err := b.client.Post(t.Context(), b.nodes[i].public, "/v1/presets/use", map[string]string{"name": name, "by": by}, &v)
				if trace.IsCompareFailed(err) {
					return
				}
				if err != nil {
					t.Errorf("%s: %v", by, err)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				if other, ok := accepted[v.Number]; ok {
					t.Errorf("version %d was accepted for %s and %s", v.Number, other, by)
				}
				accepted[v.Number] = by
			})
		}
		wg.Wait()
	}
	last := uint64(0)
	for n := range accepted {
		last = max(last, n)
	}
	if diff := cmp.Diff(int(last), len(accepted)); diff != "" {
		t.Errorf("last version and number of accepted versions (-want +got):\n%s", diff)
	}
	b.eventually("all nodes apply the last version", 10*time.Second, func() bool { return b.appliedBy(last) == 3 })
}

// TestPresetSwitchUnderLoad changes the preset every 400 ms while a trace is replayed. One of the presets admits no new programs; their
// callers retry. No program may lose a call, and every program has to be completed.
func TestPresetSwitchUnderLoad(t *testing.T) {
	b := newTestBench(t, testBenchOptions{nodes: 3, engines: 3, tools: 3, engine: quickEngine})
	ctx, cancel := context.WithCancel(t.Context())
	var switches []string
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			name := []string{"peak", "maintenance", "ordinary"}[i%3]
			err := b.client.Post(ctx, b.nodes[i%3].public, "/v1/presets/use", map[string]string{"name": name, "by": "test"}, &hgpreset.Version{})
			if err == nil {
				switches = append(switches, name)
			}
			time.Sleep(400 * time.Millisecond)
		}
	})
	r := b.replay(t.Context(), "fjordbom", "", 1)
	cancel()
	wg.Wait()
	r.CheckRecords(b.executions())
	t.Logf("%d switches; done %d, undone %d, refusals %v, latency %+v", len(switches), r.Done, r.Undone, r.Refusals, r.Latency())
	if diff := cmp.Diff([]string{}, r.Violations); diff != "" {
		t.Errorf("violations (-want +got):\n%s", diff)
	}
	if r.Undone > 0 || len(switches) < 6 {
		t.Errorf("%d programs were not completed, with %d switches of the preset", r.Undone, len(switches))
	}
}

// TestPresetNeverReverts suspends a node while the preset changes. After it is resumed, the node may accept work only under the new
// version, and the version that it applies may never decrease.
func TestPresetNeverReverts(t *testing.T) {
	b := newTestBench(t, testBenchOptions{nodes: 3, engines: 1, tools: 1, engine: quickEngine})
	b.usePreset("first", func(*hgpreset.Preset) {})
	b.freeze(2)
	time.Sleep(5 * time.Second)
	var v hgpreset.Version
	if err := b.client.Post(t.Context(), b.nodes[0].public, "/v1/presets/use", map[string]string{"name": "peak", "by": "test"}, &v); err != nil {
		t.Fatal(err)
	}
	b.resume(2)
	end := time.Now().Add(3 * time.Second)
	newest := uint64(0)
	for time.Now().Before(end) {
		ready := b.ready(2)
		s, err := b.presets(2)
		if err != nil {
			continue
		}
		if s.Current.Number < newest || ready && s.Current.Number < v.Number {
			t.Fatalf("resumed node applies version %d, ready %t; it applied %d before, and %d was accepted", s.Current.Number, ready, newest, v.Number)
		}
		newest = s.Current.Number
	}
	if diff := cmp.Diff(v.Number, newest); diff != "" {
		t.Errorf("version of the resumed node (-want +got):\n%s", diff)
	}
}

// TestNoWorkUnderUnconfirmedPreset cuts a node off from the store and from all peers, so that nothing confirms its preset. The node has to
// stop accepting new work after presetBoundMs (4 s in these settings), and a call sent to it then may not run.
func TestNoWorkUnderUnconfirmedPreset(t *testing.T) {
	b := newTestBench(t, testBenchOptions{nodes: 3, engines: 1, tools: 1, engine: quickEngine})
	b.platform.Store.SetFault(hgstore.Fault{Down: true})
	b.kill(1)
	b.kill(2)
	client := b.via(0)
	if !b.ready(0) {
		t.Error("the node accepts no work although its preset is confirmed")
	}
	b.eventually("the node refuses new work", 6*time.Second, func() bool { return !b.ready(0) })
	program := "alone-0"
	for i := 0; b.ownerSeen(program) != "node-0"; i++ {
		program = fmt.Sprintf("alone-%d", i)
	}
	c := model(program, 1, "hello")
	c.Deadline = time.Second
	_, err := client.Call(t.Context(), c)
	if err == nil || len(b.runs(c.Request)) > 0 {
		t.Errorf("new work was accepted: %v", err)
	}
	if kind := refusalOf(err).Kind; kind == hgcall.KindNotRun {
		t.Errorf("refusal kind %q, want any other", kind)
	}
}

// ownerSeen returns the owner of a program's shard as seen by the first node.
func (b *testBench) ownerSeen(program string) string {
	o, err := b.overview(0)
	if err != nil {
		b.t.Fatal(err)
	}
	return o.Shards[shardOf(program)]
}
