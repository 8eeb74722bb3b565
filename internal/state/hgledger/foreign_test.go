package hgledger_test

import (
	"fmt"
	"testing"

	"github.com/samber/lo"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/state/hgledger"
	"hyssopgrade/internal/state/hgturn"
)

// Guards against a kept turn whose chain leads through turns of another program that only the memory of one ledger holds.
func TestChainOutlivesProgramItContinues(t *testing.T) {
	tests := map[string]func(t *testing.T, l *hgledger.Ledger, table *limitedTable){
		"first turn that is continued": func(*testing.T, *hgledger.Ledger, *limitedTable) {},
		"another turn was continued before": func(t *testing.T, l *hgledger.Ledger, _ *limitedTable) {
			if v := open(l, "q", "x", "t2").Verdict; v != hgledger.Granted {
				t.Fatalf("verdict %s", v)
			}
		},
		"copy failed before": func(t *testing.T, l *hgledger.Ledger, table *limitedTable) {
			left := table.left.Swap(0)
			defer table.left.Store(left)
			if v := open(l, "q", "x", "t3").Verdict; v != hgledger.Undecided {
				t.Fatalf("verdict %s", v)
			}
		},
	}
	for name, before := range tests {
		t.Run(name, func(t *testing.T) {
			store := hgstore.NewMemory()
			first := newLedger(t, "a", store)
			keep(t, first, "p", hgturn.Turn{ID: "t1", Input: []byte("in1 ")})
			keep(t, first, "p", hgturn.Turn{ID: "t2", Previous: "t1", Input: []byte("in2 ")})
			keep(t, first, "p", hgturn.Turn{ID: "t3", Previous: "t1", Input: []byte("in3 ")})
			table := newLimitedTable(store, 1000)
			l := newLedger(t, "b", table)
			before(t, l, table)
			if v := open(l, "q", "y", "t3").Verdict; v != hgledger.Granted {
				t.Fatalf("verdict %s", v)
			}
			keep(t, l, "q", hgturn.Turn{ID: "u", Previous: "t3", Input: []byte("in4 ")})
			deleteRows(t, store, fmt.Sprintf("hgprogram/%02d/p/", hgledger.Partition("p")), fmt.Sprintf("hgturn/%02d/t", hgledger.Partition("p")))
			if reply := open(newLedger(t, "c", store), "q", "z", "u"); reply.Verdict != hgledger.Granted || string(reply.Text) != "in1 in3 in4 " {
				t.Errorf("verdict %s, text %q", reply.Verdict, reply.Text)
			}
		})
	}
}

// deleteRows deletes all rows with the prefixes.
func deleteRows(t *testing.T, store *hgstore.Memory, prefixes ...string) {
	t.Helper()
	for _, prefix := range prefixes {
		rows, _, err := store.List(t.Context(), prefix)
		if err != nil || len(rows) == 0 {
			t.Fatalf("%d rows with prefix %s: %v", len(rows), prefix, err)
		}
		if _, err := store.Commit(t.Context(), hgstore.Txn{Deletes: lo.Map(rows, func(r hgstore.Row, _ int) string { return r.Key })}); err != nil {
			t.Fatal(err)
		}
	}
}
