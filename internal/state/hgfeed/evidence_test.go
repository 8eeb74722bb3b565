package hgfeed_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/state/hgfeed"
)

// Guards against evidence that a table is up to date before its newest changes are in force, from a peer's copy, or that counts from
// the answer instead of from when the call was sent.
func TestEvidence(t *testing.T) {
	s := &lateStore{Memory: hgstore.NewMemory(), answered: make(chan struct{}, 9), late: make(chan struct{})}
	commit(t, s.Memory, put("t//a"))
	timer := hgtimer.NewService()
	defer timer.Close()
	var inForce, proven atomic.Uint64
	var asked atomic.Int64
	held, release := make(chan struct{}, 9), make(chan struct{})
	onChange := func(rows map[string]hgstore.Row, _ time.Duration) {
		if v := rows["t//a"].Version; v == 2 {
			held <- struct{}{}
			<-release
		}
		inForce.Store(rows["t//a"].Version)
	}
	report := func(rows map[string]hgstore.Row, sent time.Duration) {
		if v := rows["t//a"].Version; v > inForce.Load() {
			t.Errorf("version %d is proven while %d is in force", v, inForce.Load())
		}
		proven.Store(rows["t//a"].Version)
		asked.Store(int64(sent))
	}
	w := hgfeed.NewWatch(s, "t", timer, hglog.Discard(), onChange, hgfeed.WithEvidence(timer.Now, report))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.Run(ctx)
	awaitVersion(t, &proven, 1)
	commit(t, s.Memory, put("t//a"))
	<-s.answered
	answered := timer.Now()
	close(s.late)
	<-held
	if proven.Load() != 1 {
		t.Error("the change is proven before it is in force")
	}
	close(release)
	awaitVersion(t, &proven, 2)
	if sent := time.Duration(asked.Load()); sent >= answered {
		t.Errorf("the answer of %v counts from %v", answered, sent)
	}
	cancel()
	w.Offer(hgfeed.Snapshot{Rows: map[string]hgstore.Row{"t//a": {Key: "t//a", Version: 9}}, Changed: 9, Version: 9})
	if inForce.Load() != 9 || proven.Load() != 2 {
		t.Errorf("after a peer's copy: version %d in force, %d proven", inForce.Load(), proven.Load())
	}
}

func awaitVersion(t *testing.T, v *atomic.Uint64, want uint64) {
	t.Helper()
	for deadline := time.Now().Add(waitFor); v.Load() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("version %d, want %d", v.Load(), want)
		}
	}
}
