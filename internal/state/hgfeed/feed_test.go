package hgfeed_test

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
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

// A table that does not change costs nothing but the calls that wait for changes.
func TestWatchQuiet(t *testing.T) {
	m := hgstore.NewMemory()
	commit(t, m, put("t//a"))
	var told atomic.Int64
	timer := hgtimer.NewService()
	defer timer.Close()
	w := hgfeed.NewWatch(m, "t", timer, hglog.Discard(), func(map[string]hgstore.Row, time.Duration) { told.Add(1) })
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	w.Run(ctx)
	if n := told.Load(); n != 1 {
		t.Errorf("the state was told %d times, want once", n)
	}
}

// Only rows of another version are decoded again.
func TestRows(t *testing.T) {
	var rows hgfeed.Rows[string]
	decoded := 0
	decode := func(row hgstore.Row) (string, bool) {
		decoded++
		return string(row.Value), len(row.Value) > 0
	}
	row := func(key, value string, version uint64) hgstore.Row {
		return hgstore.Row{Key: key, Value: []byte(value), Version: version}
	}
	steps := []struct {
		name    string
		rows    []hgstore.Row
		want    []string
		decoded int
	}{
		{"all are new", []hgstore.Row{row("a", "x", 1), row("b", "", 1)}, []string{"x"}, 2},
		{"none changed", []hgstore.Row{row("a", "x", 1), row("b", "", 1)}, []string{"x"}, 0},
		{"one changed", []hgstore.Row{row("a", "x", 1), row("b", "y", 2)}, []string{"x", "y"}, 1},
		{"one is gone", []hgstore.Row{row("b", "y", 2)}, []string{"y"}, 0},
		{"it is back", []hgstore.Row{row("a", "z", 3), row("b", "y", 2)}, []string{"y", "z"}, 1},
	}
	for _, s := range steps {
		decoded = 0
		got := rows.Decode(lo.KeyBy(s.rows, func(r hgstore.Row) string { return r.Key }), decode)
		sort.Strings(got)
		if diff := cmp.Diff(s.want, got); diff != "" || decoded != s.decoded {
			t.Errorf("%s: %d decoded, want %d; values (-want +got):\n%s", s.name, decoded, s.decoded, diff)
		}
	}
}

// silentTimeout is how long the client of a silent store waits beyond the time for which the store may hold a call.
const silentTimeout = 300 * time.Millisecond

// silentStore is a store whose calls that wait for changes get no answer while it is silent.
type silentStore struct {
	*hgstore.Memory
	silent atomic.Bool
}

func (s *silentStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]hgstore.Change, uint64, error) {
	if s.silent.Load() {
		ctx, cancel := context.WithTimeout(ctx, wait+silentTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return s.Memory.Changes(ctx, table, after, wait)
}

// A watch whose call waits on a connection that has fallen silent asks again when a peer knows of a newer version.
func TestWatchBehind(t *testing.T) {
	s := &silentStore{Memory: hgstore.NewMemory()}
	commit(t, s.Memory, put("t//a"))
	timer := hgtimer.NewService()
	defer timer.Close()
	v := &view{}
	long := hgfeed.WithWait(func() time.Duration { return time.Minute })
	s.silent.Store(true)
	w := hgfeed.NewWatch(s, "t", timer, hglog.Discard(), v.change, long)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.Run(ctx)
	wantKeys(t, v, "t//a")
	time.Sleep(300 * time.Millisecond)
	s.silent.Store(false)
	commit(t, s.Memory, put("t//b"))
	for range 4 {
		w.Behind(w.Copy().Version + 1)
		time.Sleep(200 * time.Millisecond)
	}
	wantKeys(t, v, "t//a", "t//b")
	if w.Failing() > 0 {
		t.Error("a call that was ended counts as a failure of the store")
	}
}

// A store that gives no answers counts as failing, whatever peers know meanwhile, so that their copies are used.
func TestWatchSilentStore(t *testing.T) {
	tests := map[string]hgfeed.Option{
		"usual wait": func(*hgfeed.Watch) {},
		"long wait":  hgfeed.WithWait(func() time.Duration { return time.Minute }),
	}
	for name, wait := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &silentStore{Memory: hgstore.NewMemory()}
			commit(t, s.Memory, put("t//a"))
			timer := hgtimer.NewService()
			defer timer.Close()
			v := &view{}
			s.silent.Store(true)
			w := hgfeed.NewWatch(s, "t", timer, hglog.Discard(), v.change, wait)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go w.Run(ctx)
			wantKeys(t, v, "t//a")
			// By then a call with the usual wait has failed, after one with a long wait was ended.
			for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				w.Behind(w.Copy().Version + 1)
				w.Hurry()
				if w.Failing() > 0 {
					return
				}
			}
			t.Error("a silent store is not noticed")
		})
	}
}
