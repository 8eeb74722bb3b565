package hgledger_test

import (
	"sync/atomic"
	"testing"
	"time"

	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/state/hgledger"
	"hyssopgrade/internal/state/hgturn"
)

// shiftedTimer is a timer whose clock a test can move ahead.
type shiftedTimer struct {
	hgtimer.Timer
	shift atomic.Int64
}

func (t *shiftedTimer) Now() time.Duration { return t.Timer.Now() + time.Duration(t.shift.Load()) }

func (t *shiftedTimer) skip(d time.Duration) { t.shift.Add(int64(d)) }

// Guards against the loss of a program that another ledger serves from its share: the one that served it before deletes the account and the
// turns that the program's later turns follow.
func TestProgramServedElsewhereIsNotDeleted(t *testing.T) {
	const silent = 2 * time.Minute
	service := hgtimer.NewService()
	t.Cleanup(service.Close)
	timer := &shiftedTimer{Timer: service}
	store := hgstore.NewMemory()
	ledger := func(id string) *hgledger.Ledger {
		return hgledger.NewLedger(id, store, timer, hglog.Discard(), hgledger.WithRetryAfter(time.Millisecond))
	}
	run := func(l *hgledger.Ledger, id, previous string, most int) {
		t.Helper()
		r := l.Open(t.Context(), hgledger.OpenRequest{Program: "p", Attempt: id, Previous: previous, Budget: 10_000, Most: most, HasBudget: true})
		if r.Verdict != hgledger.Granted {
			t.Fatalf("turn %s: %s", id, r.Verdict)
		}
		err := l.Close(t.Context(), hgledger.CloseRequest{Program: "p", Attempt: id, Holder: r.Holder, Used: 10, Turn: &hgturn.Turn{ID: id, Previous: previous, Input: []byte(id)}})
		if err != nil {
			t.Fatal(err)
		}
	}
	first, second := ledger("a"), ledger("b")
	run(first, "t1", "", 100)
	run(second, "t2", "t1", 100)
	// The first ledger needs more than its share, and so learns of the claim of the second one.
	run(first, "t3", "t2", 5500)
	timer.skip(4 * silent / 5)
	run(second, "t4", "t3", 100)
	timer.skip(2 * silent / 5)
	if dropped, failed := first.EvictUnused(t.Context(), silent); dropped != 1 || failed != 0 {
		t.Fatalf("dropped %d, failed %d", dropped, failed)
	}
	run(ledger("c"), "t5", "t4", 100)
}
