package hgledger_test

import (
	"fmt"
	"testing"
	"time"

	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/state/hgledger"
)

// returnSite is two ledgers that serve one program beside each other, as around a change of its owner.
type returnSite struct {
	t       *testing.T
	store   *hgstore.Memory
	ledgers [2]*hgledger.Ledger
	budget  int
	used    int
}

func newReturnSite(t *testing.T, budget int) *returnSite {
	s := &returnSite{t: t, store: hgstore.NewMemory(), budget: budget}
	var backups [2]peers
	for i := range s.ledgers {
		timer := hgtimer.NewService()
		t.Cleanup(timer.Close)
		s.ledgers[i] = hgledger.NewLedger(fmt.Sprint("l", i), s.store, timer, hglog.Discard(), hgledger.WithRetryAfter(time.Millisecond),
			hgledger.WithAllProgramsKnown(true), hgledger.WithBackup(&backups[i]))
	}
	backups[0].all, backups[1].all = s.ledgers[1:], s.ledgers[:1]
	return s
}

func (s *returnSite) open(i int, attempt string, most int) {
	s.t.Helper()
	q := hgledger.OpenRequest{Program: "p", Attempt: attempt, Budget: s.budget, Most: most, HasBudget: true}
	if reply := s.ledgers[i].Open(s.t.Context(), q); reply.Verdict != hgledger.Granted {
		s.t.Fatalf("turn %s: %s", attempt, reply.Verdict)
	}
}

func (s *returnSite) end(i int, attempt string, used int) {
	s.t.Helper()
	s.used += used
	if err := s.ledgers[i].Close(s.t.Context(), hgledger.CloseRequest{Program: "p", Attempt: attempt, Holder: fmt.Sprint("l", i), Used: used}); err != nil {
		s.t.Fatal(err)
	}
}

// isFree reports whether a third ledger may use the rest of the budget, in turns of the given maximum.
func (s *returnSite) isFree(most int) bool {
	l := newLedgerWithPeers(s.t, "later", s.store, &peers{})
	for i := 0; s.used+most <= s.budget; i++ {
		q := hgledger.OpenRequest{Program: "p", Attempt: fmt.Sprint("later", i), Budget: s.budget, Most: most, HasBudget: true}
		if reply := l.Open(s.t.Context(), q); reply.Verdict != hgledger.Granted {
			return false
		}
		if err := l.Close(s.t.Context(), hgledger.CloseRequest{Program: "p", Attempt: q.Attempt, Holder: "later", Used: most}); err != nil {
			s.t.Fatal(err)
		}
		s.used += most
	}
	return true
}

// Guards against shares that were returned but stay claimed in the row, so that turns are refused for good.
func TestReturnedSharesAreFree(t *testing.T) {
	const (
		budget = 1000
		most   = 300
	)
	tests := map[string]func(s *returnSite){
		"the row has changed since it was read": func(s *returnSite) {
			s.open(0, "a", most)
			s.open(1, "b", most)
			s.end(0, "a", 10)
			s.ledgers[0].ReturnUnused(s.t.Context())
			s.end(1, "b", 10)
			s.ledgers[1].ReturnUnused(s.t.Context())
		},
		"another ledger has asked for claims before": func(s *returnSite) {
			s.open(0, "a", most)
			s.open(1, "b", most)
			s.open(1, "c", most)
			s.end(0, "a", 10)
			s.ledgers[0].ReturnUnused(s.t.Context())
			s.ledgers[0].ReturnUnused(s.t.Context())
			s.end(1, "b", most-50)
			s.end(1, "c", most-50)
			s.ledgers[1].ReturnUnused(s.t.Context())
			s.ledgers[1].ReturnUnused(s.t.Context())
		},
	}
	for name, play := range tests {
		t.Run(name, func(t *testing.T) {
			s := newReturnSite(t, budget)
			play(s)
			if !s.isFree(100) {
				t.Errorf("a turn is refused after %d of %d tokens", s.used, budget)
			}
		})
	}
}
