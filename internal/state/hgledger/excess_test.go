package hgledger_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/samber/lo"

	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hglog"
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

// lostCopies are peers whose copies of claims are lost with their VMs.
type lostCopies struct{ peers }

func (lostCopies) Copy(context.Context, hgledger.Copy) (copies int) { return 1 }

// Guards against a second claim without a row beside one that was lost with all of its copies: each of them may exceed the budget by a
// turn.
func TestNoClaimBesideLostOne(t *testing.T) {
	store := hgstore.NewMemory()
	store.SetFault(hgstore.Fault{Down: true})
	others := &peers{all: []*hgledger.Ledger{newLedgerWithPeers(t, "c", store, &peers{})}}
	second := newLedgerWithPeers(t, "b", store, others)
	timer := hgtimer.NewService()
	t.Cleanup(timer.Close)
	first := hgledger.NewLedger("a", store, timer, hglog.Discard(), hgledger.WithBackup(&lostCopies{peers{all: []*hgledger.Ledger{second}}}), hgledger.WithAllProgramsKnown(true))
	var got []hgledger.Verdict
	for _, l := range []*hgledger.Ledger{first, second} {
		got = append(got, l.Open(t.Context(), hgledger.OpenRequest{Program: "p", Attempt: l.String(), Budget: 500, Most: 100, HasBudget: true, Offline: true}).Verdict)
	}
	if diff := cmp.Diff([]hgledger.Verdict{hgledger.Granted, hgledger.Outage}, got); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}
