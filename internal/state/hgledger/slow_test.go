package hgledger_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/state/hgledger"
	"hyssopgrade/internal/state/hgreach"
)

// Guards against streams that are cut as two ledgers have granted short reservations, and both counted on the same rest of the budget.
func TestLedgersDoNotCountOnSameRest(t *testing.T) {
	const (
		budget = 1000
		most   = 300
	)
	store := hgstore.NewMemory()
	open := func(l *hgledger.Ledger, attempt string) (q hgledger.OpenRequest, reply hgledger.OpenReply) {
		q = hgledger.OpenRequest{Program: "p", Attempt: attempt, Budget: budget, Most: most, HasBudget: true, Extendable: true, Estimate: 10}
		return q, l.Open(t.Context(), q)
	}
	first, second := newLedgerAt(t, "a", store, hgreach.Slow), newLedgerAt(t, "b", store, hgreach.Slow)
	q, reply := open(first, "a0")
	if reply.Verdict != hgledger.Granted {
		t.Fatal(reply.Verdict)
	}
	if _, reply := open(second, "b0"); reply.Verdict != hgledger.Granted {
		t.Fatal(reply.Verdict)
	}
	if err := first.Close(t.Context(), hgledger.CloseRequest{Program: "p", Attempt: q.Attempt, Holder: "a", Used: most}); err != nil {
		t.Fatal(err)
	}
	// The first ledger does not know what the second one has claimed.
	granted := map[string]int{}
	for _, attempt := range []string{"a1", "a2"} {
		if _, reply := open(first, attempt); reply.Verdict == hgledger.Granted {
			granted[attempt] = reply.Most
		}
	}
	for attempt, tokens := range granted {
		if rest := most - tokens; rest > 0 {
			tokens += first.Extend(t.Context(), hgledger.ExtendRequest{Program: "p", Attempt: attempt, Holder: "a", Budget: budget, Tokens: rest, Rest: rest}).Tokens
		}
		if tokens < most {
			t.Errorf("turn %s ends at %d of %d tokens", attempt, tokens, most)
		}
	}
}

// slowPair is two ledgers that serve one program in turn while the store is slow, as around a change of its owner.
type slowPair struct {
	ledgers [2]*hgledger.Ledger
	budget  int
	running []slowTurn
}

type slowTurn struct {
	ledger *hgledger.Ledger
	q      hgledger.OpenRequest
	reply  hgledger.OpenReply
}

const slowMost = 300

// end ends the oldest turn after it was extended to its maximum, and reports whether it got so many tokens.
func (s *slowPair) end(t *testing.T, r *rand.Rand) (whole bool) {
	o := s.running[0]
	s.running = s.running[1:]
	tokens := o.reply.Most
	if rest := slowMost - tokens; rest > 0 {
		tokens += o.ledger.Extend(t.Context(), hgledger.ExtendRequest{
			Program: "p", Attempt: o.q.Attempt, Holder: o.reply.Holder, Budget: s.budget, Tokens: rest, Rest: rest,
		}).Tokens
	}
	if err := o.ledger.Close(t.Context(), hgledger.CloseRequest{Program: "p", Attempt: o.q.Attempt, Holder: o.reply.Holder, Used: r.IntN(tokens + 1)}); err != nil {
		t.Fatal(err)
	}
	return tokens >= slowMost
}

// Turns that two ledgers grant while the store is slow reach their maximum, whichever of them counts on the rest of the budget.
func TestTurnsOfTwoLedgersReachTheirMaximum(t *testing.T) {
	const (
		seeds = 300
		steps = 30
	)
	turns, cut := 0, 0
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 35))
		store := hgstore.NewMemory()
		timer := hgtimer.NewService()
		s := &slowPair{budget: slowMost + r.IntN(5*slowMost)}
		for i := range s.ledgers {
			s.ledgers[i] = hgledger.NewLedger(fmt.Sprint("l", i), store, timer, hglog.Discard(), hgledger.WithRetryAfter(time.Millisecond),
				hgledger.WithAllProgramsKnown(true), hgledger.WithReachability(func() hgreach.State { return hgreach.Slow }))
		}
		for step := range steps {
			if len(s.running) > 0 && r.IntN(2) == 0 {
				turns++
				if !s.end(t, r) {
					cut++
				}
				continue
			}
			l := s.ledgers[r.IntN(len(s.ledgers))]
			q := hgledger.OpenRequest{Program: "p", Attempt: fmt.Sprint(step), Budget: s.budget, Most: slowMost, HasBudget: true, Extendable: true, Estimate: r.IntN(slowMost)}
			if reply := l.Open(t.Context(), q); reply.Verdict == hgledger.Granted {
				s.running = append(s.running, slowTurn{l, q, reply})
			}
		}
		timer.Close()
	}
	if cut > 0 {
		t.Errorf("%d of %d turns end before their maximum", cut, turns)
	}
}

// Turns of a program one after the other wait for a slow store once, if its budget holds some turns.
func TestTurnsBeginAtOnceInSlowStore(t *testing.T) {
	const turns = 6
	tests := map[string]int{"budget of 5 turns": 5, "budget of 10 turns": 10, "budget of 20 turns": 20}
	for name, inBudget := range tests {
		t.Run(name, func(t *testing.T) {
			table := &countingTable{Table: hgstore.NewMemory()}
			l := newLedgerAt(t, "a", table, hgreach.Slow)
			for i := range turns {
				q := hgledger.OpenRequest{
					Program: "p", Attempt: fmt.Sprint(i), Budget: inBudget * slowMost, Most: slowMost, HasBudget: true, Extendable: true, Estimate: slowMost / 4,
				}
				reply := l.Open(t.Context(), q)
				if reply.Verdict != hgledger.Granted {
					t.Fatalf("turn %d: %s", i, reply.Verdict)
				}
				if err := l.Close(t.Context(), hgledger.CloseRequest{Program: "p", Attempt: q.Attempt, Holder: "a", Used: slowMost / 4}); err != nil {
					t.Fatal(err)
				}
			}
			if calls := table.calls.Load(); calls != 1 {
				t.Errorf("%d calls for %d turns", calls, turns)
			}
		})
	}
}
