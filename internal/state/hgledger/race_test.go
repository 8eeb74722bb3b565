package hgledger_test

import (
	"fmt"
	"testing"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/state/hgledger"
)

// Guards against a data race that the race detector reports: claims are saved while turns read the accounts of the same programs.
func TestClaimsAreSavedWhileAccountsAreRead(t *testing.T) {
	const (
		home  = 3
		count = 24
	)
	var programs []string
	for i := 0; len(programs) < count; i++ {
		if program := fmt.Sprint("p", i); hgledger.Partition(program) == home {
			programs = append(programs, program)
		}
	}
	store := hgstore.NewMemory()
	openAll := func(l *hgledger.Ledger) {
		for _, program := range programs {
			q := hgledger.OpenRequest{Program: program, Attempt: program, Budget: 1000, Most: 100, HasBudget: true}
			if v := l.Open(t.Context(), q).Verdict; v != hgledger.Granted {
				t.Errorf("program %s: %s", program, v)
			}
		}
	}
	store.SetFault(hgstore.Fault{Silent: []string{fmt.Sprintf("%02d", home)}})
	unsaved := newLedgerWithPeers(t, "a", store, &peers{all: []*hgledger.Ledger{newLedgerWithPeers(t, "b", store, &peers{})}})
	openAll(unsaved)
	// Each operation takes a moment, so that claims are saved while a turn reads the store.
	store.SetFault(hgstore.Fault{DelayMs: 5})
	l := newLedger(t, "c", store)
	done := make(chan struct{})
	go func() {
		defer close(done)
		openAll(l)
	}()
	for {
		l.SaveClaims(t.Context())
		unsaved.SaveClaims(t.Context())
		select {
		case <-done:
			return
		default:
		}
	}
}
