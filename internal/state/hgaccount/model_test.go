package hgaccount_test

import (
	"testing"

	"hyssopgrade/internal/state/hgaccount"
)

// The model of the budget: ledgers that serve one program over one row with a version, explored over all interleavings of
// a small bound, with writes whose answers are lost, writes that take effect late, and ledgers that die.
const (
	modelBudget = 5
	modelMost   = 2
	// ledgers is the number of ledgers, each of which dies at most once and is not replaced.
	ledgers = 2
	// maxOpen bounds the open turns of a ledger, maxSteps the length of a history.
	maxOpen  = 2
	maxSteps = 8
)

// row is the program's row, also as a ledger knows it.
type row struct {
	version int
	taken   [ledgers]int
	closed  bool
}

type ledger struct {
	dead, known bool
	row         row
	account     hgaccount.Account
	open        int
}

// late is a write that may take effect later, if the row is then still as it was.
type late struct {
	pending bool
	at      int
	row     row
}

type world struct {
	row     row
	late    late
	ledgers [ledgers]ledger
	// orphans are open turns of ledgers that died; their callers may still get all tokens.
	orphans int
	// handed is what callers got.
	handed int
}

// guards can be taken out, to see that the model finds it.
type guards struct{ versions, settles, others bool }

func (g guards) reload(l *ledger, i int, r row) {
	others := 0
	for j, taken := range r.taken {
		if j != i {
			others += taken
		}
	}
	if !g.others {
		others = 0
	}
	l.row, l.known = r, true
	l.account = l.account.Reload(others, r.taken[i], false, r.closed)
}

// open returns the worlds after a ledger was asked for a turn: granted, or not, or with a write whose answer is lost.
func (g guards) open(w world, i int) (next []world) {
	l := &w.ledgers[i]
	if !l.known {
		g.reload(l, i, w.row)
	}
	grant := l.account.Reserve(modelBudget, modelMost)
	switch {
	case grant.Spent:
		g.reload(l, i, w.row)
		return []world{w}
	case !grant.Durable:
		l.account = grant.Account
		l.open++
		return []world{w}
	}
	written := l.row
	written.taken[i] = grant.Account.Mine
	if g.versions && w.row.version != l.row.version {
		g.reload(l, i, w.row)
		return []world{w}
	}
	lost := w
	lost.ledgers[i].known = false
	lost.late = late{pending: true, at: l.row.version, row: written}
	w = w.write(written)
	unanswered := w
	unanswered.ledgers[i].known = false
	l = &w.ledgers[i]
	g.reload(l, i, w.row)
	l.account.Open += modelMost
	l.open++
	return []world{w, lost, unanswered}
}

func (w world) write(r row) world {
	r.version = w.row.version + 1
	w.row = r
	return w
}

// next returns all worlds that may follow.
func (g guards) next(w world) (next []world) {
	if w.late.pending {
		gone := w
		gone.late = late{}
		next = append(next, gone)
		if !g.versions || w.late.at == w.row.version {
			next = append(next, gone.write(w.late.row))
		}
	}
	if w.orphans > 0 {
		w := w
		w.orphans--
		w.handed += modelMost
		next = append(next, w)
	}
	for i := range w.ledgers {
		next = append(next, g.step(w, i)...)
	}
	return next
}

// step returns the worlds after something happened at a ledger.
func (g guards) step(w world, i int) (next []world) {
	if w.ledgers[i].dead {
		return nil
	}
	if w.ledgers[i].open < maxOpen {
		next = g.open(w, i)
	}
	if w.ledgers[i].open > 0 {
		for _, used := range []int{0, 1, modelMost} {
			w := w
			w.handed += used
			w.ledgers[i].open--
			if g.settles {
				w.ledgers[i].account = w.ledgers[i].account.Settle(modelMost, used)
			} else {
				w.ledgers[i].account = w.ledgers[i].account.Settle(modelMost, 0)
			}
			next = append(next, w)
		}
	}
	dead := w
	dead.orphans += w.ledgers[i].open
	dead.ledgers[i] = ledger{dead: true}
	next = append(next, dead)
	if l := w.ledgers[i]; l.known && l.account.Left() > 0 && l.row.version == w.row.version {
		returned := w
		l.account = l.account.Return()
		written := l.row
		written.taken[i] = l.account.Mine
		returned.ledgers[i] = l
		returned = returned.write(written)
		g.reload(&returned.ledgers[i], i, returned.row)
		next = append(next, returned)
	}
	return next
}

// explore returns the number of worlds, and the history to the first one in which callers got too much.
func (g guards) explore() (worlds int, history []world) {
	from := map[world]world{{}: {}}
	front := []world{{}}
	for range maxSteps {
		var reached []world
		for _, w := range front {
			for _, n := range g.next(w) {
				if _, ok := from[n]; ok {
					continue
				}
				from[n] = w
				if n.handed > modelBudget+modelMost {
					for n != (world{}) {
						history = append([]world{n}, history...)
						n = from[n]
					}
					return len(from), history
				}
				reached = append(reached, n)
			}
		}
		front = reached
	}
	return len(from), nil
}

// Callers never get more than the budget and one turn's most, whatever becomes of ledgers and writes; without each guard
// the exploration finds a history in which they do.
func TestModel(t *testing.T) {
	tests := map[string]struct {
		guards guards
		holds  bool
	}{
		"all guards":                       {guards{versions: true, settles: true, others: true}, true},
		"writes without the row's version": {guards{settles: true, others: true}, false},
		"turns settled at nothing":         {guards{versions: true, others: true}, false},
		"others' parts not counted":        {guards{versions: true, settles: true}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			worlds, history := tt.guards.explore()
			t.Logf("%d worlds", worlds)
			if (history == nil) == tt.holds {
				return
			}
			for i, w := range history {
				t.Logf("%d: %+v", i, w)
			}
			t.Errorf("holds: %v, want %v", history == nil, tt.holds)
		})
	}
}
