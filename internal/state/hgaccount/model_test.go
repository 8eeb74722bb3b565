package hgaccount_test

import (
	"testing"

	"hyssopgrade/internal/state/hgaccount"
)

// A bounded model checker for the budget: several ledgers serve one program through one versioned row. All
// interleavings up to a small bound are explored, with writes whose replies are lost, writes that are applied late and
// ledgers that crash.
const (
	modelBudget    = 5
	modelMaxTokens = 2
	// numLedgers is the number of ledgers. Each crashes at most once and is not replaced.
	numLedgers = 2
	// maxOpen bounds the open turns of a ledger, maxSteps the length of a history.
	maxOpen  = 2
	maxSteps = 8
)

// row is the program's row, in the store or as a ledger last read it.
type row struct {
	version int
	claimed [numLedgers]int
	closed  bool
}

type ledger struct {
	// rowKnown is set if row is the result of the last read or write.
	crashed, rowKnown bool
	row               row
	account           hgaccount.Account
	open              int
}

// delayedWrite is a write without a reply that may be applied later, if the row still has the expected version then.
type delayedWrite struct {
	pending  bool
	expected int
	row      row
}

// state is one state of the model.
type state struct {
	row     row
	delayed delayedWrite
	ledgers [numLedgers]ledger
	// orphans counts open turns of crashed ledgers; their callers may still get all tokens.
	orphans int
	// delivered counts the tokens that callers got.
	delivered int
}

// guards are the safeguards of the budget: writes are conditional on the row's version, turns are settled at their used
// tokens, and the shares of other ledgers count. A disabled guard shows whether the model detects its absence.
type guards struct{ versions, settles, others bool }

func (g guards) reload(l *ledger, i int, r row) {
	others := 0
	for j, claimed := range r.claimed {
		if j != i {
			others += claimed
		}
	}
	if !g.others {
		others = 0
	}
	l.row, l.rowKnown = r, true
	l.account = l.account.Reload(others, r.claimed[i], false, r.closed)
}

// open returns the states after ledger i was asked for a turn: granted, refused, or with a write whose reply is lost.
func (g guards) open(s state, i int) (next []state) {
	l := &s.ledgers[i]
	if !l.rowKnown {
		g.reload(l, i, s.row)
	}
	grant := l.account.Reserve(modelBudget, modelMaxTokens)
	switch {
	case grant.Spent:
		g.reload(l, i, s.row)
		return []state{s}
	case !grant.NeedsWrite:
		l.account = grant.Account
		l.open++
		return []state{s}
	}
	written := l.row
	written.claimed[i] = grant.Account.Mine
	if g.versions && s.row.version != l.row.version {
		g.reload(l, i, s.row)
		return []state{s}
	}
	lost := s
	lost.ledgers[i].rowKnown = false
	lost.delayed = delayedWrite{pending: true, expected: l.row.version, row: written}
	s = s.write(written)
	unanswered := s
	unanswered.ledgers[i].rowKnown = false
	l = &s.ledgers[i]
	g.reload(l, i, s.row)
	l.account.Open += modelMaxTokens
	l.open++
	return []state{s, lost, unanswered}
}

func (s state) write(r row) state {
	r.version = s.row.version + 1
	s.row = r
	return s
}

// successors returns all states that may follow s.
func (g guards) successors(s state) (next []state) {
	if s.delayed.pending {
		dropped := s
		dropped.delayed = delayedWrite{}
		next = append(next, dropped)
		if !g.versions || s.delayed.expected == s.row.version {
			next = append(next, dropped.write(s.delayed.row))
		}
	}
	if s.orphans > 0 {
		s := s
		s.orphans--
		s.delivered += modelMaxTokens
		next = append(next, s)
	}
	for i := range s.ledgers {
		next = append(next, g.step(s, i)...)
	}
	return next
}

// step returns the states after one event at ledger i: a turn is opened or settled, the ledger crashes, or it returns
// the unused part of its share.
func (g guards) step(s state, i int) (next []state) {
	if s.ledgers[i].crashed {
		return nil
	}
	if s.ledgers[i].open < maxOpen {
		next = g.open(s, i)
	}
	if s.ledgers[i].open > 0 {
		for _, used := range []int{0, 1, modelMaxTokens} {
			s := s
			s.delivered += used
			s.ledgers[i].open--
			if g.settles {
				s.ledgers[i].account = s.ledgers[i].account.Settle(modelMaxTokens, used)
			} else {
				s.ledgers[i].account = s.ledgers[i].account.Settle(modelMaxTokens, 0)
			}
			next = append(next, s)
		}
	}
	crash := s
	crash.orphans += s.ledgers[i].open
	crash.ledgers[i] = ledger{crashed: true}
	next = append(next, crash)
	if l := s.ledgers[i]; l.rowKnown && l.account.Available() > 0 && l.row.version == s.row.version {
		returned := s
		l.account = l.account.ReturnUnused()
		written := l.row
		written.claimed[i] = l.account.Mine
		returned.ledgers[i] = l
		returned = returned.write(written)
		g.reload(&returned.ledgers[i], i, returned.row)
		next = append(next, returned)
	}
	return next
}

// explore returns the number of states reached, and the history that leads to the first one in which callers got too
// many tokens.
func (g guards) explore() (states int, history []state) {
	predecessor := map[state]state{{}: {}}
	frontier := []state{{}}
	for range maxSteps {
		var reached []state
		for _, s := range frontier {
			for _, n := range g.successors(s) {
				if _, ok := predecessor[n]; ok {
					continue
				}
				predecessor[n] = s
				if n.delivered > modelBudget+modelMaxTokens {
					for n != (state{}) {
						history = append([]state{n}, history...)
						n = predecessor[n]
					}
					return len(predecessor), history
				}
				reached = append(reached, n)
			}
		}
		frontier = reached
	}
	return len(predecessor), nil
}

// Callers never get more than the budget plus the maximum of one turn, whatever happens to ledgers and writes. With any
// one guard disabled, the model finds a history in which they do.
func TestModel(t *testing.T) {
	tests := map[string]struct {
		guards guards
		holds  bool
	}{
		"all guards":                       {guards{versions: true, settles: true, others: true}, true},
		"writes without the row's version": {guards{settles: true, others: true}, false},
		"turns settled at nothing":         {guards{versions: true, others: true}, false},
		"shares of others not counted":     {guards{versions: true, settles: true}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			states, history := tt.guards.explore()
			t.Logf("%d states", states)
			if (history == nil) == tt.holds {
				return
			}
			for i, s := range history {
				t.Logf("%d: %+v", i, s)
			}
			t.Errorf("holds: %v, want %v", history == nil, tt.holds)
		})
	}
}
