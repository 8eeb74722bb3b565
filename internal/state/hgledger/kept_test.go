package hgledger_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/state/hgledger"
	"hyssopgrade/internal/state/hgreach"
	"hyssopgrade/internal/state/hgturn"
)

// countingTable counts the transactions that are sent and the rows that they write.
type countingTable struct {
	hgstore.Table
	calls, rows atomic.Int64
}

func (c *countingTable) Commit(ctx context.Context, t hgstore.Txn) (uint64, error) {
	c.calls.Add(1)
	c.rows.Add(int64(len(t.Puts)))
	return c.Table.Commit(ctx, t)
}

// runKept runs a turn that is kept, and returns the verdict on it.
func runKept(t *testing.T, l *hgledger.Ledger, q hgledger.OpenRequest, used int) hgledger.Verdict {
	t.Helper()
	q.Program, q.HasBudget, q.Kept = "p", true, true
	reply := l.Open(t.Context(), q)
	if reply.Verdict != hgledger.Granted {
		return reply.Verdict
	}
	endKept(t, l, q, reply.Holder, used)
	return hgledger.Granted
}

func endKept(t *testing.T, l *hgledger.Ledger, q hgledger.OpenRequest, holder string, used int) {
	t.Helper()
	err := l.Close(t.Context(), hgledger.CloseRequest{Program: "p", Attempt: q.Attempt, Holder: holder, Used: used, Turn: &hgturn.Turn{ID: q.Attempt, Previous: q.Previous}})
	if err != nil {
		t.Fatal(err)
	}
}

func newLedgerAt(t *testing.T, id string, table hgstore.Table, state hgreach.State) *hgledger.Ledger {
	timer := hgtimer.NewService()
	t.Cleanup(timer.Close)
	return hgledger.NewLedger(id, table, timer, hglog.Discard(), hgledger.WithRetryAfter(time.Millisecond), hgledger.WithAllProgramsKnown(true),
		hgledger.WithReachability(func() hgreach.State { return state }))
}

// Guards against kept turns that are refused for good, as claims of ledgers that have ended count as spent.
func TestKeptTurnsOfLedgersThatEnd(t *testing.T) {
	const (
		most  = 80
		used  = 40
		turns = 12
	)
	store := hgstore.NewMemory()
	for i := range turns {
		l := newLedgerAt(t, fmt.Sprint("l", i), store, hgreach.Reachable)
		q := hgledger.OpenRequest{Attempt: fmt.Sprint("t", i), Budget: turns*used + most, Most: most}
		if v := runKept(t, l, q, used); v != hgledger.Granted {
			t.Errorf("turn %d: %s", i, v)
		}
	}
}

// A kept turn needs one transaction. Where the budget holds few turns, it claims its tokens in another one and returns the rest with its
// own rows.
func TestCallsOfKeptTurns(t *testing.T) {
	const turns = 4
	type cost struct{ Calls, Rows int64 }
	tests := map[string]struct {
		state  hgreach.State
		budget int
		// first is the cost of the first turn, and later that of each other one.
		first, later cost
	}{
		"budget of a few turns":  {hgreach.Reachable, 800, cost{2, 4}, cost{2, 4}},
		"budget of many turns":   {hgreach.Reachable, 10_000, cost{2, 4}, cost{1, 2}},
		"few turns, slow store":  {hgreach.Slow, 800, cost{2, 3}, cost{2, 3}},
		"many turns, slow store": {hgreach.Slow, 10_000, cost{2, 3}, cost{1, 2}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := &countingTable{Table: hgstore.NewMemory()}
			l := newLedgerAt(t, "a", table, tt.state)
			for i := range turns {
				before := cost{table.calls.Load(), table.rows.Load()}
				if v := runKept(t, l, hgledger.OpenRequest{Attempt: fmt.Sprint("t", i), Budget: tt.budget, Most: 100}, 50); v != hgledger.Granted {
					t.Fatalf("turn %d: %s", i, v)
				}
				want := tt.later
				if i == 0 {
					want = tt.first
				}
				if diff := cmp.Diff(want, cost{table.calls.Load() - before.Calls, table.rows.Load() - before.Rows}); diff != "" {
					t.Errorf("turn %d (-want +got):\n%s", i, diff)
				}
			}
		})
	}
}

// Guards against sub-agents that wait for each other's writes: turns that are opened at the same time share a claim.
func TestParallelKeptTurnsShareClaim(t *testing.T) {
	const (
		turns = 8
		most  = 100
	)
	store := hgstore.NewMemory()
	table := &countingTable{Table: store}
	l := newLedgerAt(t, "a", table, hgreach.Reachable)
	if v := runKept(t, l, hgledger.OpenRequest{Attempt: "first", Budget: 2 * turns * most, Most: most}, most/2); v != hgledger.Granted {
		t.Fatal(v)
	}
	before := table.calls.Load()
	store.SetFault(hgstore.Fault{DelayMs: 40})
	var wg sync.WaitGroup
	for i := range turns {
		wg.Go(func() {
			q := hgledger.OpenRequest{Program: "p", Attempt: fmt.Sprint(i), Budget: 2 * turns * most, Most: most, HasBudget: true, Kept: true}
			if v := l.Open(t.Context(), q).Verdict; v != hgledger.Granted {
				t.Errorf("turn %d: %s", i, v)
			}
		})
	}
	wg.Wait()
	if calls := table.calls.Load() - before; calls > turns/2 {
		t.Errorf("%d calls for %d turns", calls, turns)
	}
}

// What a kept turn did not use is free for other ledgers when it has ended, and a fault of that write does not fail the turn.
func TestKeptTurnReturnsRest(t *testing.T) {
	const (
		budget = 1000
		most   = 400
		used   = 100
	)
	tests := map[string]struct {
		// before is called before the turn ends.
		before func(t *testing.T, store *hgstore.Memory, l *hgledger.Ledger)
		// claimed are the tokens that the row records afterwards. Some of them may be unused if it does not say that the claim is settled.
		claimed int
		settled bool
	}{
		"store in order": {func(*testing.T, *hgstore.Memory, *hgledger.Ledger) {}, used, true},
		"reply is lost": {func(_ *testing.T, store *hgstore.Memory, _ *hgledger.Ledger) {
			store.SetFault(hgstore.Fault{LoseReplies: 1})
		}, used, true},
		"another turn is open": {func(t *testing.T, _ *hgstore.Memory, l *hgledger.Ledger) {
			q := hgledger.OpenRequest{Program: "p", Attempt: "beside", Budget: budget, Most: most, HasBudget: true, Kept: true}
			if v := l.Open(t.Context(), q).Verdict; v != hgledger.Granted {
				t.Fatal(v)
			}
		}, used + most, false},
		"row has changed": {func(t *testing.T, store *hgstore.Memory, _ *hgledger.Ledger) {
			if v := runKept(t, newLedgerAt(t, "b", store, hgreach.Reachable), hgledger.OpenRequest{Attempt: "b", Budget: budget, Most: 100}, 100); v != hgledger.Granted {
				t.Fatal(v)
			}
		}, most + 100, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			store := hgstore.NewMemory()
			l := newLedgerAt(t, "a", store, hgreach.Reachable)
			q := hgledger.OpenRequest{Program: "p", Attempt: "t", Budget: budget, Most: most, HasBudget: true, Kept: true}
			reply := l.Open(t.Context(), q)
			if reply.Verdict != hgledger.Granted {
				t.Fatal(reply.Verdict)
			}
			tt.before(t, store, l)
			endKept(t, l, q, reply.Holder, used)
			store.SetFault(hgstore.Fault{})
			next := newLedgerAt(t, "next", store, hgreach.Reachable)
			if text := next.Open(t.Context(), hgledger.OpenRequest{Program: "p", Attempt: "read", Previous: "t"}); text.Verdict != hgledger.Granted {
				t.Errorf("the turn is not kept: %s", text.Verdict)
			}
			free := 0
			for i := 0; runKept(t, next, hgledger.OpenRequest{Attempt: fmt.Sprint("n", i), Budget: budget, Most: 100}, 100) == hgledger.Granted; i++ {
				free += 100
			}
			want := (budget - tt.claimed) / 100 * 100
			if !tt.settled {
				want += 100 // One turn may exceed the budget, as others may not have used their claims.
			}
			if free != want {
				t.Errorf("%d tokens are free, want %d", free, want)
			}
		})
	}
}

// A turn that can't be kept has delivered its tokens.
func TestTurnThatIsNotKeptCounts(t *testing.T) {
	const (
		budget = 1000
		most   = 400
	)
	store := hgstore.NewMemory()
	l := newLedgerAt(t, "a", store, hgreach.Reachable)
	reply := l.Open(t.Context(), hgledger.OpenRequest{Program: "p", Attempt: "t", Budget: budget, Most: most, HasBudget: true, Kept: true})
	store.SetFault(hgstore.Fault{Down: true})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	q := hgledger.CloseRequest{Program: "p", Attempt: "t", Holder: reply.Holder, Used: most, Turn: &hgturn.Turn{ID: "t"}}
	if err := l.Close(ctx, q); err == nil {
		t.Fatal("the turn is kept without a store")
	}
	store.SetFault(hgstore.Fault{})
	for i, want := range []hgledger.Verdict{hgledger.Granted, hgledger.Spent} {
		v := hgledger.Outage
		for tries := 0; v == hgledger.Outage && tries < 100; tries++ {
			time.Sleep(20 * time.Millisecond)
			v = runKept(t, l, hgledger.OpenRequest{Attempt: fmt.Sprint("next", i, tries), Budget: budget, Most: most}, most)
		}
		if v != want {
			t.Errorf("turn %d: %s, want %s", i, v, want)
		}
	}
}

// A write of the account that gets no answer in time does not delay the end of the turn.
func TestEndOfKeptTurnDoesNotWaitForReturn(t *testing.T) {
	const limit = 300 * time.Millisecond
	store := hgstore.NewMemory()
	l := newLedgerAt(t, "a", store, hgreach.Reachable)
	q := hgledger.OpenRequest{Program: "p", Attempt: "t", Budget: 1000, Most: 100, HasBudget: true, Kept: true}
	reply := l.Open(t.Context(), q)
	// The answer to the first write is late, so that the account's row is not written in time.
	store.SetFault(hgstore.Fault{DelayMs: 150})
	began := time.Now()
	endKept(t, l, q, reply.Holder, 10)
	if took := time.Since(began); took > limit {
		t.Errorf("the turn ends after %v", took)
	}
	store.SetFault(hgstore.Fault{})
	if v := runKept(t, l, hgledger.OpenRequest{Attempt: "next", Budget: 1000, Most: 100}, 10); v != hgledger.Granted {
		t.Errorf("the next turn: %s", v)
	}
}

// Guards against shares that stay claimed for good, as the end of a kept turn could not return them.
func TestRestOfKeptTurnIsReturnedLater(t *testing.T) {
	const (
		budget = 1000
		most   = 400
		used   = 100
	)
	tests := map[string]struct {
		// end ends an open turn of l, in a way that leaves its share claimed.
		end func(t *testing.T, store *hgstore.Memory, state *atomic.Value, l *hgledger.Ledger, holder string)
		// claimed are the tokens that the row records once the rest is returned. Some of them may be unused if it does not say that the
		// claim is settled.
		claimed int
		settled bool
	}{
		"store is slow": {func(t *testing.T, _ *hgstore.Memory, state *atomic.Value, l *hgledger.Ledger, holder string) {
			state.Store(hgreach.Slow)
			endKept(t, l, hgledger.OpenRequest{Attempt: "t"}, holder, used)
		}, used, true},
		"row has changed": {func(t *testing.T, store *hgstore.Memory, _ *atomic.Value, l *hgledger.Ledger, holder string) {
			if v := runKept(t, newLedgerAt(t, "b", store, hgreach.Reachable), hgledger.OpenRequest{Attempt: "b", Budget: budget, Most: 100}, 100); v != hgledger.Granted {
				t.Fatal(v)
			}
			endKept(t, l, hgledger.OpenRequest{Attempt: "t"}, holder, used)
		}, used + 100, false},
		"next opening is given up": {func(t *testing.T, store *hgstore.Memory, _ *atomic.Value, l *hgledger.Ledger, holder string) {
			endKept(t, l, hgledger.OpenRequest{Attempt: "t"}, holder, used)
			store.SetFault(hgstore.Fault{DelayMs: 100})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			defer cancel()
			q := hgledger.OpenRequest{Program: "p", Attempt: "next", Budget: budget, Most: most, HasBudget: true, Kept: true}
			if v := l.Open(ctx, q).Verdict; v == hgledger.Granted {
				t.Fatal(v)
			}
			time.Sleep(200 * time.Millisecond)
			store.SetFault(hgstore.Fault{})
		}, used, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			store := hgstore.NewMemory()
			var state atomic.Value
			state.Store(hgreach.Reachable)
			timer := hgtimer.NewService()
			defer timer.Close()
			l := hgledger.NewLedger("a", store, timer, hglog.Discard(), hgledger.WithRetryAfter(time.Millisecond), hgledger.WithAllProgramsKnown(true),
				hgledger.WithReachability(func() hgreach.State { return state.Load().(hgreach.State) }))
			reply := l.Open(t.Context(), hgledger.OpenRequest{Program: "p", Attempt: "t", Budget: budget, Most: most, HasBudget: true, Kept: true})
			tt.end(t, store, &state, l, reply.Holder)
			state.Store(hgreach.Reachable)
			time.Sleep(600 * time.Millisecond)
			l.SaveClaims(t.Context())
			next := newLedgerAt(t, "next", store, hgreach.Reachable)
			free := 0
			for i := 0; runKept(t, next, hgledger.OpenRequest{Attempt: fmt.Sprint("n", i), Budget: budget, Most: 100}, 100) == hgledger.Granted; i++ {
				free += 100
			}
			want := (budget - tt.claimed) / 100 * 100
			if !tt.settled {
				want += 100 // One turn may exceed the budget, as others may not have used their claims.
			}
			if free != want {
				t.Errorf("%d tokens are free, want %d", free, want)
			}
		})
	}
}
