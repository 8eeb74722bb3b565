package hgledger_test

import (
	"bytes"
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/gravitational/trace"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/state/hgledger"
	"hyssopgrade/internal/state/hgturn"
)

// The most entries and bytes of values that the store accepts in a transaction. Encoded as text, the bytes are 1 MB.
const (
	mostEntries = 100
	mostBytes   = 750_000
)

// limitedTable is a table that rejects transactions beyond the store's limits, and all after a number of them.
type limitedTable struct {
	hgstore.Table
	left atomic.Int64
}

func newLimitedTable(inner hgstore.Table, transactions int64) *limitedTable {
	t := &limitedTable{Table: inner}
	t.left.Store(transactions)
	return t
}

func (l *limitedTable) Commit(ctx context.Context, t hgstore.Txn) (version uint64, err error) {
	n := 0
	for _, p := range t.Puts {
		n += len(p.Value)
	}
	if n > mostBytes || len(t.Conditions)+len(t.Puts)+len(t.Deletes) > mostEntries {
		return 0, trace.LimitExceeded("transaction of %d bytes", n)
	}
	if l.left.Add(-1) < 0 {
		return 0, trace.ConnectionProblem(nil, "store is away")
	}
	return l.Table.Commit(ctx, t)
}

// Guards against a long turn that is not stored because no transaction can hold it.
func TestLongTurnIsStored(t *testing.T) {
	tests := map[string]int{
		"in one transaction": 500_000, "in two": 700_000, "in three": 1_500_000, "longest body": 4 << 20,
	}
	for name, size := range tests {
		t.Run(name, func(t *testing.T) {
			store := newLimitedTable(hgstore.NewMemory(), 1000)
			l := newLedger(t, "a", store)
			long := hgturn.Turn{ID: "long", Input: bytes.Repeat([]byte("x"), size), Output: []byte("out\n")}
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			if err := l.Close(ctx, hgledger.CloseRequest{Program: "p", Attempt: long.ID, Turn: &long}); err != nil {
				t.Fatal(err)
			}
			keep(t, l, "p", hgturn.Turn{ID: "next", Previous: "long", Input: []byte("in ")})
			for _, program := range []string{"p", "q"} {
				reply := open(newLedger(t, "b"+program, store), program, "x", "next")
				if want := string(long.Input) + "out\nin "; reply.Verdict != hgledger.Granted || string(reply.Text) != want {
					t.Errorf("program %s: %s, text of %d bytes, want %d", program, reply.Verdict, len(reply.Text), len(want))
				}
			}
		})
	}
}

// Guards against a part of a long turn that is taken for a turn, or for the beginning of another one, when the store stops answering
// between its transactions.
func TestPartOfLongTurnIsNoTurn(t *testing.T) {
	const transactions = 3
	for written := range int64(transactions + 1) {
		t.Run(fmt.Sprint(written, " of 3 transactions"), func(t *testing.T) {
			store := hgstore.NewMemory()
			whole := newLedger(t, "a", store)
			keep(t, whole, "p", hgturn.Turn{ID: "a", Input: []byte("first ")})
			keep(t, whole, "p", hgturn.Turn{ID: "z", Previous: "a", Input: []byte("last ")})
			long := hgturn.Turn{ID: "m", Previous: "a", Input: bytes.Repeat([]byte("x"), 1_500_000)}
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			err := newLedger(t, "b", newLimitedTable(store, written)).Close(ctx, hgledger.CloseRequest{Program: "p", Attempt: long.ID, Turn: &long})
			if (err == nil) != (written == transactions) {
				t.Fatalf("error %v", err)
			}
			want := map[string]hgledger.Verdict{"a": hgledger.Granted, "m": hgledger.NoTurn, "z": hgledger.Granted}
			if err == nil {
				want["m"] = hgledger.Granted
			}
			got := map[string]hgledger.Verdict{}
			for id := range want {
				got[id] = open(newLedger(t, "c"+id, store), "p", "x", id).Verdict
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("verdicts (-want +got):\n%s", diff)
			}
			if reply := open(newLedger(t, "d", store), "p", "x", "z"); string(reply.Text) != "first last " {
				t.Errorf("text %.100q", reply.Text)
			}
		})
	}
}
