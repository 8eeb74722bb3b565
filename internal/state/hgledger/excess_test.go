package hgledger_test

import (
	"fmt"
	"testing"

	"github.com/samber/lo"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/state/hgledger"
)

// Guards against a program that was told 402 and gets a second turn beyond its budget, as it returns during an outage of the store to a VM
// that has never served it, after those that had were restarted.
func TestStoppedProgramExceedsBudgetOnce(t *testing.T) {
	const (
		budget = 500
		most   = 100
	)
	// stop is the end of the process of the first VM, which has served the program and holds a share that it has not used up.
	tests := map[string]struct {
		stop func(l *hgledger.Ledger)
		// tokens are what the program gets of the second VM after the first one, and inOutage is the verdict of the third one.
		tokens   int
		inOutage hgledger.Verdict
	}{
		"planned": {func(l *hgledger.Ledger) { l.ReturnUnused(t.Context()) }, 300, hgledger.Granted},
		"killed":  {func(*hgledger.Ledger) {}, 300, hgledger.Outage},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			store := hgstore.NewMemory()
			others := make([]*peers, 3)
			ledgers := make([]*hgledger.Ledger, 3)
			start := func(i int, id string) {
				others[i] = &peers{}
				ledgers[i] = newLedgerWithPeers(t, id, store, others[i])
				for k, p := range others {
					if p != nil {
						p.all = lo.Filter(ledgers, func(l *hgledger.Ledger, i int) bool { return i != k && l != nil })
					}
				}
			}
			for i, id := range []string{"a", "b", "c"} {
				start(i, id)
			}
			turn := func(i, n int, offline bool) hgledger.Verdict {
				q := hgledger.OpenRequest{Program: "p", Attempt: fmt.Sprint(i, n), Budget: budget, Most: most, HasBudget: true, Offline: offline}
				reply := ledgers[i].Open(t.Context(), q)
				if reply.Verdict == hgledger.Granted {
					if err := ledgers[i].Close(t.Context(), hgledger.CloseRequest{Program: "p", Attempt: q.Attempt, Holder: reply.Holder, Used: most}); err != nil {
						t.Fatal(err)
					}
				}
				return reply.Verdict
			}
			for n := range 2 {
				if v := turn(2, n, false); v != hgledger.Granted {
					t.Fatalf("turn %d: %s", n, v)
				}
			}
			tt.stop(ledgers[2])
			start(2, "c again")
			tokens := 0
			for n := 0; turn(1, n, false) == hgledger.Granted; n++ {
				tokens += most
			}
			if tokens != tt.tokens {
				t.Errorf("%d tokens after the restart, want %d", tokens, tt.tokens)
			}
			ledgers[1].ReturnUnused(t.Context())
			start(1, "b again")
			store.SetFault(hgstore.Fault{Down: true})
			if v := turn(0, 0, true); v != tt.inOutage {
				t.Errorf("in the outage: %s, want %s", v, tt.inOutage)
			}
		})
	}
}
