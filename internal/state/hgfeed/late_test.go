package hgfeed_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/state/hgfeed"
)

// lateStore is a store whose answers to polls for changes arrive once late is closed.
type lateStore struct {
	*hgstore.Memory
	answered, late chan struct{}
}

func (s *lateStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (changes []hgstore.Change, version uint64, err error) {
	changes, version, err = s.Memory.Changes(ctx, table, after, wait)
	if len(changes) > 0 {
		s.answered <- struct{}{}
		<-s.late
	}
	return changes, version, err
}

// Guards against changes that arrive after a peer's newer copy of the table and undo it for good.
func TestLateChangesDoNotUndoNewerCopy(t *testing.T) {
	s := &lateStore{Memory: hgstore.NewMemory(), answered: make(chan struct{}), late: make(chan struct{})}
	commit(t, s.Memory, put("t//ended"))
	timer := hgtimer.NewService()
	defer timer.Close()
	w := hgfeed.NewWatch(s, "t", timer, hglog.Discard(), (&view{}).change)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.Run(ctx)
	awaitList(w)
	commit(t, s.Memory, hgstore.Txn{Puts: []hgstore.Put{{Key: "t//ended", Value: []byte("old")}, {Key: "t//a", Value: []byte("ready")}}})
	<-s.answered
	commit(t, s.Memory, hgstore.Txn{Puts: []hgstore.Put{{Key: "t//a", Value: []byte("leaving")}}, Deletes: []string{"t//ended"}})
	rows, version, err := s.List(t.Context(), "t//")
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]hgstore.Row{}
	for _, r := range rows {
		want[r.Key] = r
	}
	w.Offer(hgfeed.Snapshot{Rows: want, Changed: version, Version: version})
	close(s.late)
	time.Sleep(2 * time.Second)
	if diff := cmp.Diff(want, w.Snapshot().Rows); diff != "" {
		t.Errorf("rows (-want +got):\n%s", diff)
	}
}

func awaitList(w *hgfeed.Watch) {
	for w.Changed() == 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a peer's copy that counts as up to date because of a later answer of the store whose changes it lacks.
func TestLateChangesDoNotConfirmOlderCopy(t *testing.T) {
	s := &lateStore{Memory: hgstore.NewMemory(), answered: make(chan struct{}, 9), late: make(chan struct{})}
	commit(t, s.Memory, put("t//a"))
	timer := hgtimer.NewService()
	defer timer.Close()
	w := hgfeed.NewWatch(s, "t", timer, hglog.Discard(), (&view{}).change)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.Run(ctx)
	awaitList(w)
	listed := time.Now()
	version, err := s.Commit(t.Context(), hgstore.Txn{Puts: []hgstore.Put{{Key: "t//b"}}})
	if err != nil {
		t.Fatal(err)
	}
	older := hgfeed.Snapshot{Rows: map[string]hgstore.Row{"t//b": {Key: "t//b", Version: version}}, Changed: version, Version: version}
	commit(t, s.Memory, put("t//c"))
	<-s.answered
	w.Offer(older)
	close(s.late)
	for range 50 {
		age, since := w.Age(), time.Since(listed)
		if w.Snapshot().Version > version {
			return
		}
		if age < since-time.Millisecond {
			t.Fatalf("a copy without the newest change counts as %v old, %v after the last one that was confirmed", age, since)
		}
		time.Sleep(time.Millisecond)
	}
}
