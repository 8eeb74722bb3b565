package hgjournal

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/samber/lo"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgprogram"
	"hyssopgrade/hgstore"
)

// eventRecorder records the events that a committer reports.
type eventRecorder struct {
	mu        sync.Mutex
	committed map[uint32]uint64
	lost      map[uint32]bool
}

func newEventRecorder() *eventRecorder {
	return &eventRecorder{committed: map[uint32]uint64{}, lost: map[uint32]bool{}}
}

func (r *eventRecorder) Committed(s uint32, n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.committed[s] = n
}

func (r *eventRecorder) LostShard(s uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost[s] = true
}

func (r *eventRecorder) reported() map[uint32]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.committed)
}

func (r *eventRecorder) isLost(s uint32) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost[s]
}

func (r *eventRecorder) CommitDone(int, int, time.Duration) {}

// writer is a committer of one run with the states of its shards.
type writer struct {
	*Committer
	recorder *eventRecorder
	// mu guards states, as the locks of the shards' owner do outside tests.
	mu     sync.Mutex
	states map[uint32]*hgprogram.Shard
	epochs map[uint32]uint64
}

func newWriter(store hgstore.Store, run string, opts ...Option) *writer {
	w := &writer{recorder: newEventRecorder(), states: map[uint32]*hgprogram.Shard{}, epochs: map[uint32]uint64{}}
	opts = append(opts, WithCompaction(20, func(s uint32) ([]byte, uint64, bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		snap := w.states[s].Snapshot()
		data, err := SnapshotCodec.Encode(snap)
		return data, snap.N, err == nil
	}))
	w.Committer = NewCommitter(store, run, w.recorder, opts...)
	return w
}

// claim claims and recovers all shards.
func (w *writer) claim(t *testing.T, store hgstore.Store, shards uint32) {
	t.Helper()
	rows, err := ReadRows(t.Context(), store, shards)
	if err != nil {
		t.Fatal(err)
	}
	won, err := w.Claim(t.Context(), w.run, rows)
	if err != nil {
		t.Fatal(err)
	}
	states, err := Recover(t.Context(), store, won, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range won {
		w.states[s.Shard], w.epochs[s.Shard] = states[s.Shard], s.Row.Epoch
		w.Hold(s, states[s.Shard].N())
	}
}

// write appends the records of a call that begins and finishes in a shard.
func (w *writer) write(shard uint32, i int) {
	c := hgcall.Call{
		Program: fmt.Sprintf("%s-%d", w.run, i), Seq: 1, Request: "r", Kind: hgcall.Tool, Target: "t/o", Deadline: time.Minute,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	d := w.states[shard].Begin(c, hgprogram.Defaults{BudgetTokens: 10}, 0).(hgprogram.Run)
	w.Append(shard, w.epochs[shard], d.Records)
	w.Append(shard, w.epochs[shard], w.states[shard].Finish(c.Program, "r", hgcall.Result{State: hgcall.Done}, 0))
}

// TestTakeoverKeepsWhatWasCommitted guards against lost records and against commits of a superseded owner. One run writes
// while the store loses replies and fails, then another takes over its shards: the new owner must have every record that
// the old one reported as committed and none that it did not write, and the old one must commit nothing more and report the
// shards as lost.
func TestTakeoverKeepsWhatWasCommitted(t *testing.T) {
	const shards = 4
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 3))
			store := hgstore.NewMemory()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			old := newWriter(store, "old")
			old.claim(t, store, shards)
			go old.Run(ctx)
			for i := range 200 {
				old.write(uint32(rnd.IntN(shards)), i)
				store.SetFault(hgstore.Fault{LoseReplies: rnd.IntN(2), Down: rnd.IntN(8) == 0, DelayMs: rnd.IntN(30)})
				time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond)
			}
			store.SetFault(hgstore.Fault{})
			next := newWriter(store, "next")
			next.claim(t, store, shards)
			for s := range uint32(shards) {
				if old.recorder.isLost(s) {
					t.Errorf("seed %d, shard %d: reported as lost before any takeover", seed, s)
				}
			}
			reported := old.recorder.reported()
			for s := range uint32(shards) {
				if got := next.states[s].N(); got < reported[s] || got > old.states[s].N() {
					t.Errorf("seed %d, shard %d: recovered %d records, %d were reported as committed of %d", seed, s, got, reported[s], old.states[s].N())
				}
				before := next.states[s].N()
				old.write(s, 1000+int(s))
				time.Sleep(5 * time.Second)
				again, err := Recover(ctx, store, mustRows(t, store, shards)[s:s+1], 0)
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(before, again[s].N()); diff != "" {
					t.Errorf("seed %d, shard %d: the old owner committed after the takeover:\n%s", seed, s, diff)
				}
				if !old.recorder.isLost(s) {
					t.Errorf("seed %d, shard %d: the old owner did not report the shard as lost", seed, s)
				}
			}
			cancel()
			synctest.Wait()
		})
	}
}

func mustRows(t *testing.T, store hgstore.Store, shards uint32) []VersionedRow {
	t.Helper()
	rows, err := ReadRows(t.Context(), store, shards)
	if err != nil {
		t.Fatal(err)
	}
	return rows
}

// startWriter returns a running writer that holds all shards of a store, and a function that stops it.
func startWriter(t *testing.T, store hgstore.Store, shards uint32) (w *writer, end func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	w = newWriter(store, "run")
	w.claim(t, store, shards)
	go w.Run(ctx)
	return w, func() {
		cancel()
		synctest.Wait()
	}
}

// TestCompactionAndCollection writes enough records for segments and deletes the unreferenced batch rows: recovery must
// still return the same state.
func TestCompactionAndCollection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := hgstore.NewMemory()
		w, end := startWriter(t, store, 2)
		defer end()
		for i := range 100 {
			w.write(uint32(i%2), i)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Second)
		n, err := CollectGarbage(t.Context(), store, 2, 1000)
		if err != nil || n < 50 {
			t.Errorf("collected %d batch rows: %v", n, err)
		}
		states, err := Recover(t.Context(), store, mustRows(t, store, 2), 0)
		if err != nil {
			t.Fatal(err)
		}
		for s := range uint32(2) {
			if diff := cmp.Diff(w.states[s].Snapshot(), states[s].Snapshot()); diff != "" {
				t.Errorf("shard %d (-written +recovered):\n%s", s, diff)
			}
		}
	})
}

// TestReleaseFlushesFirst releases a shard right after a write: the next owner must find the record.
func TestReleaseFlushesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := hgstore.NewMemory()
		w, end := startWriter(t, store, 1)
		defer end()
		w.write(0, 1)
		if _, err := w.Release(t.Context(), []uint32{0}); err != nil {
			t.Fatal(err)
		}
		rows := mustRows(t, store, 1)
		states, err := Recover(t.Context(), store, rows, 0)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]any{"", w.states[0].N()}, []any{rows[0].Row.Owner, states[0].N()}); diff != "" {
			t.Errorf("owner and records (-want +got):\n%s", diff)
		}
	})
}

// TestReleaseOfManyShards releases shards while replies are lost and another run has claimed some of them: the others must
// be released in one transaction, and those claimed must be reported as lost.
func TestReleaseOfManyShards(t *testing.T) {
	tests := map[string]struct {
		taken       []uint32
		loseReplies int
		want, lost  []uint32
	}{
		"all":                           {nil, 0, []uint32{0, 1, 2, 3}, nil},
		"reply lost":                    {nil, 1, []uint32{0, 1, 2, 3}, nil},
		"replies lost":                  {nil, 3, []uint32{0, 1, 2, 3}, nil},
		"first taken":                   {[]uint32{0}, 0, []uint32{1, 2, 3}, []uint32{0}},
		"some taken, reply lost":        {[]uint32{1, 3}, 1, []uint32{0, 2}, []uint32{1, 3}},
		"all taken":                     {[]uint32{0, 1, 2, 3}, 0, nil, []uint32{0, 1, 2, 3}},
		"first taken, replies lost":     {[]uint32{0}, 4, []uint32{1, 2, 3}, []uint32{0}},
		"all but one taken, reply lost": {[]uint32{0, 1, 2}, 1, []uint32{3}, []uint32{0, 1, 2}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := hgstore.NewMemory()
				w, end := startWriter(t, store, 4)
				defer end()
				rows := mustRows(t, store, 4)
				seen := lo.Filter(rows, func(r VersionedRow, _ int) bool { return lo.Contains(tc.taken, r.Shard) })
				if _, err := newWriter(store, "other").Claim(t.Context(), "other", seen); err != nil {
					t.Fatal(err)
				}
				before := store.Usage().Commits
				store.SetFault(hgstore.Fault{LoseReplies: tc.loseReplies})
				got, err := w.Release(t.Context(), []uint32{0, 1, 2, 3})
				if err != nil {
					t.Fatal(err)
				}
				lost := lo.Filter([]uint32{0, 1, 2, 3}, func(s uint32, _ int) bool { return w.recorder.isLost(s) })
				free := lo.FilterMap(mustRows(t, store, 4), func(r VersionedRow, _ int) (uint32, bool) { return r.Shard, r.Row.Owner == "" })
				if diff := cmp.Diff([][]uint32{tc.want, tc.want, tc.lost}, [][]uint32{got, free, lost}, cmpopts.EquateEmpty()); diff != "" {
					t.Errorf("released, without owner, lost (-want +got):\n%s", diff)
				}
				tries := 1 + tc.loseReplies + min(len(tc.taken), 1)
				if n := store.Usage().Commits - before; n > uint64(tries) {
					t.Errorf("%d attempts; one for each fault and one more are enough", n)
				}
			})
		})
	}
}

// TestReleaseCutShort stops a run that releases shards while the store is down: no shard may be reported as released, and
// the rows must keep their owner.
func TestReleaseCutShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := hgstore.NewMemory()
		w, end := startWriter(t, store, 2)
		store.SetFault(hgstore.Fault{Down: true})
		time.AfterFunc(time.Second, end)
		released, err := w.Release(t.Context(), []uint32{0, 1})
		store.SetFault(hgstore.Fault{})
		owners := lo.Map(mustRows(t, store, 2), func(r VersionedRow, _ int) string { return r.Row.Owner })
		if diff := cmp.Diff([]any{0, true, []string{"run", "run"}}, []any{len(released), err != nil, owners}); diff != "" {
			t.Errorf("released, error, owners (-want +got):\n%s", diff)
		}
	})
}

func FuzzDecode(f *testing.F) {
	data, _ := BatchCodec.Encode(Batch{Entries: []Entry{{Shard: 1, Records: []hgprogram.Record{{N: 1, Type: hgprogram.Opened, Program: "p"}}}}})
	f.Add(data)
	f.Add([]byte(`{"epoch":1,"owner":"a","run":"r","writers":[],"nonce":"n"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := BatchCodec.Decode(data)
		if err == nil {
			s := hgprogram.NewShard()
			for _, e := range b.Entries {
				for _, r := range e.Records {
					_ = s.Apply(r, 0)
				}
			}
		}
		_, _ = ShardRowCodec.Decode(data)
		if snap, err := SnapshotCodec.Decode(data); err == nil {
			_ = hgprogram.NewShard().Restore(snap, 0)
		}
	})
}
