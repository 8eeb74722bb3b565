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

func (b *bench) presets(i int) (s hgfront.PresetStatus, err error) {
	ctx, cancel := context.WithTimeout(b.t.Context(), 500*time.Millisecond)
	defer cancel()
	return s, b.client.Get(ctx, b.nodes[i].public, "/v1/presets", &s)
}

// ready tells whether node i takes new work.
func (b *bench) ready(i int) bool {
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

// appliedBy returns the number of nodes that apply the version.
func (b *bench) appliedBy(number uint64) int {
	n := 0
	for i := range b.nodes {
		if s, err := b.presets(i); err == nil && s.Current.Number == number {
			n++
		}
	}
	return n
}

// TestPresetRaces lets two operators choose at once, again and again, while the store loses replies:
// each version is accepted once, its loser is told, and within 10 s the last one is in force everywhere.
func TestPresetRaces(t *testing.T) {
	b := newBench(t, benchOptions{nodes: 3, engines: 1, tools: 1, engine: quickEngine})
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
		t.Errorf("versions and acceptances (-want +got):\n%s", diff)
	}
	b.eventually("the last version is in force everywhere", 10*time.Second, func() bool { return b.appliedBy(last) == 3 })
}

// TestPresetSwitchUnderLoad changes the preset again and again while a trace is replayed and new programs are refused now
// and then: no program loses a call, and none is refused for good.
func TestPresetSwitchUnderLoad(t *testing.T) {
	b := newBench(t, benchOptions{nodes: 3, engines: 3, tools: 3, engine: quickEngine})
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
	r.CheckRecords(b.record())
	t.Logf("%d switches; done %d, undone %d, refusals %v, latency %+v", len(switches), r.Done, r.Undone, r.Refusals, r.Latency())
	if diff := cmp.Diff([]string{}, r.Violations); diff != "" {
		t.Errorf("violations (-want +got):\n%s", diff)
	}
	if r.Undone > 0 || len(switches) < 6 {
		t.Errorf("%d programs have no answer after %d switches", r.Undone, len(switches))
	}
}

// TestPresetNeverReverts freezes a node over a change: when it wakes it goes on with the new version or takes no work.
func TestPresetNeverReverts(t *testing.T) {
	b := newBench(t, benchOptions{nodes: 3, engines: 1, tools: 1, engine: quickEngine})
	b.usePreset("first", func(*hgpreset.Preset) {})
	b.freeze(2)
	time.Sleep(5 * time.Second)
	var v hgpreset.Version
	if err := b.client.Post(t.Context(), b.nodes[0].public, "/v1/presets/use", map[string]string{"name": "peak", "by": "test"}, &v); err != nil {
		t.Fatal(err)
	}
	b.thaw(2)
	end := time.Now().Add(3 * time.Second)
	newest := uint64(0)
	for time.Now().Before(end) {
		ready := b.ready(2)
		s, err := b.presets(2)
		if err != nil {
			continue
		}
		if s.Current.Number < newest || ready && s.Current.Number < v.Number {
			t.Fatalf("woken node applies version %d, ready %t, after %d was seen and %d accepted", s.Current.Number, ready, newest, v.Number)
		}
		newest = s.Current.Number
	}
	if diff := cmp.Diff(v.Number, newest); diff != "" {
		t.Errorf("version of the woken node (-want +got):\n%s", diff)
	}
}

// TestNoWorkUnderUnconfirmedPreset takes the store and all peers from a node: it takes no new work within the bound.
func TestNoWorkUnderUnconfirmedPreset(t *testing.T) {
	b := newBench(t, benchOptions{nodes: 3, engines: 1, tools: 1, engine: quickEngine})
	b.platform.Store.SetFault(hgstore.Fault{Down: true})
	b.kill(1)
	b.kill(2)
	client := b.via(0)
	if !b.ready(0) {
		t.Error("the node takes no work while its preset is confirmed")
	}
	b.eventually("the node refuses new work", 6*time.Second, func() bool { return !b.ready(0) })
	program := "alone-0"
	for i := 0; b.ownedBy(program) != "node-0"; i++ {
		program = fmt.Sprintf("alone-%d", i)
	}
	c := model(program, 1, "hello")
	c.Deadline = time.Second
	_, err := client.Call(t.Context(), c)
	if err == nil || len(b.runs(c.Request)) > 0 {
		t.Errorf("new work was taken: %v", err)
	}
	if kind := refusalOf(err).Kind; kind == hgcall.KindNotRun {
		t.Errorf("kind %q", kind)
	}
}

// ownedBy returns the owner of a program as the first node knows it.
func (b *bench) ownedBy(program string) string {
	o, err := b.overview(0)
	if err != nil {
		b.t.Fatal(err)
	}
	return o.Shards[shardOf(program)]
}
