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
	// open is the number of open turns with a reservation of modelMaxTokens, short that of turns with one token, which may be
	// extended.
	open, short int
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
	// orphans counts open turns of crashed ledgers, and shortOrphans those with a reservation of one token; their callers may
	// still get all tokens that are reserved.
	orphans, shortOrphans int
	// delivered counts the tokens that callers got.
	delivered int
}

// guards are the safeguards of the budget: writes are conditional on the row's version, turns are settled at their used
// tokens, the shares of other ledgers count, and turns with a short reservation stay within the share. A disabled guard shows
// whether the model detects its absence.
type guards struct{ versions, settles, others, share bool }

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
	for _, n := range g.claim(s, i, modelMaxTokens) {
		if granted := n.ledgers[i].account.Open > s.ledgers[i].account.Open; granted {
			n.ledgers[i].open++
		}
		next = append(next, n)
	}
	return next
}

// claim returns the states after ledger i reserved tokens through the row.
func (g guards) claim(s state, i, tokens int) (next []state) {
	l := &s.ledgers[i]
	if !l.rowKnown {
		g.reload(l, i, s.row)
	}
	grant := l.account.Reserve(modelBudget, tokens)
	switch {
	case grant.Spent:
		g.reload(l, i, s.row)
		return []state{s}
	case !grant.NeedsWrite:
		l.account = grant.Account
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
	l.account.Open += tokens
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
	if s.shortOrphans > 0 {
		s := s
		s.shortOrphans--
		s.delivered++
		next = append(next, s)
	}
	for i := range s.ledgers {
		next = append(next, g.step(s, i)...)
	}
	return next
}

// openShort returns the states after ledger i granted a turn of its share without a write, with a reservation of one token.
func (g guards) openShort(s state, i int) (next []state) {
	l := &s.ledgers[i]
	if g.share && l.account.Available() < 1 {
		return nil
	}
	l.account.Open += 1
	l.short++
	return []state{s}
}

// extend returns the states after ledger i was asked to extend a turn with a reservation of one token to modelMaxTokens: from its
// share, or by a claim of one more token.
func (g guards) extend(s state, i int) (next []state) {
	const more = modelMaxTokens - 1
	l := &s.ledgers[i]
	if !g.share || l.account.Available() >= more {
		l.account.Open += more
		l.short--
		l.open++
		return []state{s}
	}
	for _, n := range g.claim(s, i, more) {
		if granted := n.ledgers[i].account.Open > s.ledgers[i].account.Open; granted {
			n.ledgers[i].short--
			n.ledgers[i].open++
		}
		next = append(next, n)
	}
	return next
}

// step returns the states after one event at ledger i: a turn is opened or settled, the ledger crashes, or it returns
// the unused part of its share.
func (g guards) step(s state, i int) (next []state) {
	if s.ledgers[i].crashed {
		return nil
	}
	if s.ledgers[i].open+s.ledgers[i].short < maxOpen {
		next = append(g.open(s, i), g.openShort(s, i)...)
	}
	if s.ledgers[i].short > 0 {
		next = append(next, g.extend(s, i)...)
		for _, used := range []int{0, 1} {
			s := s
			s.delivered += used
			s.ledgers[i].short--
			s.ledgers[i].account = s.ledgers[i].account.Settle(1, used)
			next = append(next, s)
		}
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
	crash.shortOrphans += s.ledgers[i].short
	crash.ledgers[i] = ledger{crashed: true}
	next = append(next, crash)
	if l := s.ledgers[i]; l.rowKnown && l.account.Available() > 0 && l.row.version == s.row.version {
		returned := s
		l.account = l.account.ReturnUnused(0)
		written := l.row
		written.claimed[i] = l.account.Mine
		returned.ledgers[i] = l
		returned = returned.write(written)
		g.reload(&returned.ledgers[i], i, returned.row)
		next = append(next, returned)
	}
	return next
}

// usedUp is the state in which ledger 0 has claimed and delivered the whole budget.
func usedUp() state {
	s := state{row: row{version: 1, claimed: [numLedgers]int{modelBudget}}, delivered: modelBudget}
	guards{others: true}.reload(&s.ledgers[0], 0, s.row)
	s.ledgers[0].account.Used = modelBudget
	return s
}

// explore returns the number of states reached from a first one, and the history that leads to the first state in which
// callers got too many tokens.
func (g guards) explore(first state) (states int, history []state) {
	predecessor := map[state]state{first: first}
	frontier := []state{first}
	for range maxSteps {
		var reached []state
		for _, s := range frontier {
			for _, n := range g.successors(s) {
				if _, ok := predecessor[n]; ok {
					continue
				}
				predecessor[n] = s
				if n.delivered > modelBudget+modelMaxTokens {
					for n != first {
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
		first  state
		holds  bool
	}{
		"all guards":                       {guards{versions: true, settles: true, others: true, share: true}, state{}, true},
		"all guards, budget used up":       {guards{versions: true, settles: true, others: true, share: true}, usedUp(), true},
		"writes without the row's version": {guards{settles: true, others: true, share: true}, state{}, false},
		"turns settled at nothing":         {guards{versions: true, others: true, share: true}, state{}, false},
		"shares of others not counted":     {guards{versions: true, settles: true, share: true}, state{}, false},
		"short turns beyond the share":     {guards{versions: true, settles: true, others: true}, usedUp(), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			states, history := tt.guards.explore(tt.first)
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
