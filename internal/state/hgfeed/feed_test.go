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

// view holds what a watch last reported.
type view struct {
	mu    sync.Mutex
	keys  []string
	grace time.Duration
}

func (v *view) change(rows map[string]hgstore.Row, grace time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.keys, v.grace = lo.Keys(rows), grace
	sort.Strings(v.keys)
}

func (v *view) get() ([]string, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.keys, v.grace
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

// waitFor is the time within which a change must be reported: a leaving replica must get no requests after two seconds.
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

func start(t *testing.T, m *hgstore.Memory, opts ...hgfeed.Option) (*hgfeed.Watch, *view) {
	timer := hgtimer.NewService()
	v := &view{}
	w := hgfeed.NewWatch(m, "t", timer, hglog.Discard(), v.change, opts...)
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
	// A change that the history no longer holds is found by listing the table again.
	m.DropHistory()
	commit(t, m, put("t//c"))
	m.DropHistory()
	wantKeys(t, v, "t//b", "t//c")
}

// Rows that expire during an outage are written again only after it. Consumers must not drop them at once, so the watch
// reports how much longer missing rows may come back.
func TestWatchOutage(t *testing.T) {
	m := hgstore.NewMemory()
	commit(t, m, put("t//a"))
	w, v := start(t, m)
	wantKeys(t, v, "t//a")
	m.SetFault(hgstore.Fault{Down: true})
	time.Sleep(waitFor)
	if w.Failing() == 0 {
		t.Error("Failing is 0 during an outage of the store")
	}
	m.SetFault(hgstore.Fault{})
	commit(t, m, hgstore.Txn{Deletes: []string{"t//a"}, Puts: []hgstore.Put{{Key: "t//b"}}})
	wantKeys(t, v, "t//b")
	if _, grace := v.get(); grace == 0 {
		t.Error("no grace time for a row that expired during the outage")
	}
	// The grace time ends two seconds after the outage, not two seconds after a row's removal.
	time.Sleep(time.Second)
	commit(t, m, hgstore.Txn{Deletes: []string{"t//b"}})
	wantKeys(t, v)
	if _, grace := v.get(); grace > 1200*time.Millisecond {
		t.Errorf("grace time of a row that was removed a second after the outage: %v, want at most 1.2 s", grace)
	}
}

// Guards against removed rows that are kept after an outage that was too short for rows to expire.
func TestGraceNeedsOutageInWhichRowsExpire(t *testing.T) {
	tests := map[string]struct {
		lapse    time.Duration
		hasGrace bool
	}{
		"too short":   {time.Minute, false},
		"long enough": {waitFor / 2, true},
		"not known":   {0, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := hgstore.NewMemory()
			commit(t, m, put("t//a"))
			_, v := start(t, m, hgfeed.WithLapseTime(tt.lapse))
			wantKeys(t, v, "t//a")
			m.SetFault(hgstore.Fault{Down: true})
			time.Sleep(waitFor)
			m.SetFault(hgstore.Fault{})
			commit(t, m, hgstore.Txn{Deletes: []string{"t//a"}})
			wantKeys(t, v)
			if _, grace := v.get(); grace > 0 != tt.hasGrace {
				t.Errorf("grace time %v, want one: %t", grace, tt.hasGrace)
			}
		})
	}
}

func TestOffer(t *testing.T) {
	row := func(key string, version uint64) map[string]hgstore.Row {
		return map[string]hgstore.Row{key: {Key: key, Version: version}}
	}
	tests := map[string]struct {
		copy hgfeed.Snapshot
		want []string
	}{
		"newer": {hgfeed.Snapshot{Rows: row("t//new", 9), Changed: 9, Version: 9}, []string{"t//new"}},
		"older": {hgfeed.Snapshot{Rows: row("t//old", 1), Changed: 0, Version: 0}, []string{"t//a"}},
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

// A table without changes is reported once; polls that return nothing must not report it again.
func TestWatchQuiet(t *testing.T) {
	m := hgstore.NewMemory()
	commit(t, m, put("t//a"))
	var reports atomic.Int64
	timer := hgtimer.NewService()
	defer timer.Close()
	w := hgfeed.NewWatch(m, "t", timer, hglog.Discard(), func(map[string]hgstore.Row, time.Duration) { reports.Add(1) })
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	w.Run(ctx)
	if n := reports.Load(); n != 1 {
		t.Errorf("the table was reported %d times, want once", n)
	}
}

// Only rows whose version has changed are decoded again.
func TestRows(t *testing.T) {
	var rows hgfeed.RowCache[string]
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

// silentTimeout is how long the client of an unresponsive store waits beyond the time for which the store may hold a poll.
const silentTimeout = 300 * time.Millisecond

// silentStore is a store that answers no polls for changes while silent is set.
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

// A poll on a connection that no longer delivers anything would last for its whole extended wait. The watch must cancel it
// and poll again once a peer has reported a newer version, and not count that as a failure of the store.
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
		w.NotePeerVersion(w.Snapshot().Version + 1)
		time.Sleep(200 * time.Millisecond)
	}
	wantKeys(t, v, "t//a", "t//b")
	if w.Failing() > 0 {
		t.Error("a cancelled poll counts as a failure of the store")
	}
}

// A node takes the tables from peers only while its watch is failing. Cancelling polls because peers know newer versions
// must not keep the watch of a store that answers nothing from being counted as failing.
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
			// Within this time the extended poll is cancelled and the next one, with the default wait, times out.
			for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				w.NotePeerVersion(w.Snapshot().Version + 1)
				w.ShortenWait()
				if w.Failing() > 0 {
					return
				}
			}
			t.Error("Failing is 0 although the store answers no polls")
		})
	}
}
