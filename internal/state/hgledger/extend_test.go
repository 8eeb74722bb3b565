package hgledger_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/state/hgledger"
)

// A turn whose holder does not answer gets tokens from other ledgers, which together stay within the budget and one turn.
func TestTurnIsExtendedElsewhere(t *testing.T) {
	const most = 100
	tests := map[string]struct {
		budget int
		// returned says that the holder has returned what it does not use before it ended, and strict that it did not know whether
		// the program was new.
		returned, strict bool
		// want are the tokens that each extension of 50 by the next two ledgers adds.
		want []int
	}{
		// A budget may be exceeded once, as its holder may not have used its share.
		"nothing is left":             {100, true, false, []int{50, 0, 0, 0}},
		"rest is returned":            {200, true, false, []int{50, 50, 50, 0}},
		"holder keeps its rest":       {200, false, false, []int{50, 50, 0, 0}},
		"nothing is left, strictly":   {100, true, true, []int{0, 0, 0, 0}},
		"rest is returned, strictly":  {200, true, true, []int{50, 50, 0, 0}},
		"holder keeps rest, strictly": {200, false, true, []int{50, 0, 0, 0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			store := hgstore.NewMemory()
			holder := newLedgerWithPeers(t, "a", store, &peers{})
			if tt.strict {
				holder = newLedger(t, "a", store)
			}
			opened := holder.Open(t.Context(), hgledger.OpenRequest{Program: "p", Attempt: "t", Budget: tt.budget, Most: most, HasBudget: true})
			if opened.Verdict != hgledger.Granted {
				t.Fatal(opened.Verdict)
			}
			if tt.returned {
				holder.ReturnUnused(t.Context())
			}
			var got []int
			handed := opened.Most
			for _, id := range []string{"b", "c"} {
				l := newLedger(t, id, store)
				for range 2 {
					tokens := l.Extend(t.Context(), hgledger.ExtendRequest{Program: "p", Attempt: "t", Budget: tt.budget, Tokens: 50}).Tokens
					got = append(got, tokens)
					handed += tokens
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("tokens (-want +got):\n%s", diff)
			}
			if handed > tt.budget+most {
				t.Errorf("%d tokens of a budget of %d", handed, tt.budget)
			}
		})
	}
}

// What a ledger has reserved for a turn that another one opened is released once, when the turn is settled here or there.
func TestExtensionIsReleased(t *testing.T) {
	q := hgledger.CloseRequest{Program: "p", Attempt: "t", Holder: "gone", Used: 120}
	tests := map[string]func(l *hgledger.Ledger) error{
		"settled here":          func(l *hgledger.Ledger) error { return l.Close(t.Context(), q) },
		"settled by its holder": func(l *hgledger.Ledger) error { l.ReleaseExtension(q); return nil },
		"settled by one, twice": func(l *hgledger.Ledger) error { l.ReleaseExtension(q); return l.Close(t.Context(), q) },
		"settled without a turn": func(l *hgledger.Ledger) error {
			l.ReleaseExtension(hgledger.CloseRequest{Program: "q"})
			return l.Close(t.Context(), q)
		},
	}
	for name, settle := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLedger(t, "b", hgstore.NewMemory())
			const budget, tokens = 300, 60
			if n := l.Extend(t.Context(), hgledger.ExtendRequest{Program: "p", Attempt: "t", Budget: budget, Tokens: tokens}).Tokens; n != tokens {
				t.Fatalf("%d tokens", n)
			}
			if err := settle(l); err != nil {
				t.Fatal(err)
			}
			// All that the extension did not use up can be granted again, and no more.
			for i, want := range []hgledger.Verdict{hgledger.Granted, hgledger.Spent} {
				q := hgledger.OpenRequest{Program: "p", Attempt: fmt.Sprint("next", i), Budget: budget, Most: budget - tokens, HasBudget: true}
				if v := l.Open(t.Context(), q).Verdict; v != want {
					t.Errorf("turn %d: %s, want %s", i, v, want)
				}
			}
		})
	}
}

// A ledger tells that it is not the holder of a turn, as after a restart of the VM.
func TestExtendAtAnotherHolder(t *testing.T) {
	reply := newLedger(t, "a/2", hgstore.NewMemory()).Extend(t.Context(), hgledger.ExtendRequest{Program: "p", Attempt: "t", Holder: "a/1", Budget: 100, Tokens: 10})
	if diff := cmp.Diff(hgledger.ExtendReply{NotHolder: true}, reply); diff != "" {
		t.Errorf("reply (-want +got):\n%s", diff)
	}
}
