package hgfeed_test

import (
	"context"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/samber/lo"

	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/state/hgfeed"
)

// view is what a watch has told last.
type view struct {
	mu    sync.Mutex
	keys  []string
	lapse time.Duration
}

func (v *view) change(rows map[string]hgstore.Row, lapse time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.keys, v.lapse = lo.Keys(rows), lapse
	sort.Strings(v.keys)
}

func (v *view) get() ([]string, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.keys, v.lapse
}

func commit(t *testing.T, m *hgstore.Memory, txn hgstore.Txn) {
	t.Helper()
	if _, err := m.Commit(context.Background(), txn); err != nil {
		t.Fatal(err)
	}
}

func put(key string) hgstore.Txn {
	return hgstore.Txn{Puts: []hgstore.Put{{Key: key, Value: []byte("v")}}}
}

// waitFor is the time in which a change must be known; replicas that leave must be out within two seconds.
const waitFor = 1500 * time.Millisecond

func wantKeys(t *testing.T, v *view, want ...string) {
	t.Helper()
	deadline := time.Now().Add(waitFor)
	want = append([]string{}, want...)
	for {
		got, _ := v.get()
		diff := cmp.Diff(want, got)
		if diff == "" {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("rows (-want +got):\n%s", diff)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func start(t *testing.T, m *hgstore.Memory) (*hgfeed.Watch, *view) {
	timer := hgtimer.NewService()
	v := &view{}
	w := hgfeed.NewWatch(m, "t", timer, hglog.Discard(), v.change)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { w.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		timer.Close()
	})
	return w, v
}

func TestWatch(t *testing.T) {
	m := hgstore.NewMemory()
	commit(t, m, put("t//a"))
	commit(t, m, put("other//x"))
	_, v := start(t, m)
	wantKeys(t, v, "t//a")
	commit(t, m, put("t//b"))
	wantKeys(t, v, "t//a", "t//b")
	commit(t, m, hgstore.Txn{Deletes: []string{"t//a"}})
	wantKeys(t, v, "t//b")
	// A change within a gap of the history is found by a new list.
	m.DropHistory()
	commit(t, m, put("t//c"))
	m.DropHistory()
	wantKeys(t, v, "t//b", "t//c")
}

// After an outage missing rows are told as such, until they had the time to come back.
func TestWatchOutage(t *testing.T) {
	m := hgstore.NewMemory()
	commit(t, m, put("t//a"))
	w, v := start(t, m)
	wantKeys(t, v, "t//a")
	m.SetFault(hgstore.Fault{Down: true})
	time.Sleep(waitFor)
	if w.Failing() == 0 {
		t.Error("the outage is not noticed")
	}
	m.SetFault(hgstore.Fault{})
	commit(t, m, hgstore.Txn{Deletes: []string{"t//a"}, Puts: []hgstore.Put{{Key: "t//b"}}})
	wantKeys(t, v, "t//b")
	if _, lapse := v.get(); lapse == 0 {
		t.Error("a row that lapsed in the outage is gone for good")
	}
	// A row that is removed after the outage is gone two seconds after the outage at the latest, not two after that.
	time.Sleep(time.Second)
	commit(t, m, hgstore.Txn{Deletes: []string{"t//b"}})
	wantKeys(t, v)
	if _, lapse := v.get(); lapse > 1200*time.Millisecond {
		t.Errorf("a row that was removed a second after the outage stays for %v", lapse)
	}
}

func TestOffer(t *testing.T) {
	row := func(key string, version uint64) map[string]hgstore.Row {
		return map[string]hgstore.Row{key: {Key: key, Version: version}}
	}
	tests := map[string]struct {
		copy hgfeed.Copy
		want []string
	}{
		"newer": {hgfeed.Copy{Rows: row("t//new", 9), Changed: 9, Version: 9}, []string{"t//new"}},
		"older": {hgfeed.Copy{Rows: row("t//old", 1), Changed: 0, Version: 0}, []string{"t//a"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := hgstore.NewMemory()
			commit(t, m, put("t//a"))
			w, v := start(t, m)
			wantKeys(t, v, "t//a")
			w.Offer(tt.copy)
			wantKeys(t, v, tt.want...)
		})
	}
}
