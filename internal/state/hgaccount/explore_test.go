package hgaccount_test

import (
	"slices"
	"testing"

	"github.com/samber/lo"
)

// explore returns the number of states reached from a first one in a number of steps, and the history that leads to the first state in
// which callers may get too many tokens.
func (g model) explore(first state, steps int) (states int, history []state) {
	// number numbers the states in the order in which they are reached; predecessor is that of each state.
	number := map[state]int32{first: 0}
	predecessor := []int32{-1}
	frontier := []state{first}
	for range steps {
		var reached []state
		for _, s := range frontier {
			for _, n := range g.successors(s) {
				if _, ok := number[n]; ok {
					continue
				}
				number[n] = int32(len(predecessor))
				predecessor = append(predecessor, number[s])
				if n.worst() > modelBudget+modelMaxTokens {
					return len(predecessor), historyOf(number[n], number, predecessor)
				}
				reached = append(reached, n)
			}
		}
		frontier = reached
	}
	return len(predecessor), nil
}

// historyOf returns the states that lead to one, by their numbers.
func historyOf(last int32, number map[state]int32, predecessor []int32) (history []state) {
	states := lo.Invert(number)
	for n := last; n > 0; n = predecessor[n] {
		history = append(history, states[n])
	}
	slices.Reverse(history)
	return history
}

// Callers never get more than the budget plus the maximum of one turn, whatever happens to ledgers and writes. With any
// one guard disabled, the model finds a history in which they do.
func TestModel(t *testing.T) {
	tests := map[string]struct {
		without func(g *guards)
		kept    bool
		first   state
		holds   bool
	}{
		"all guards":                               {func(*guards) {}, false, state{}, true},
		"all guards, budget used up":               {func(*guards) {}, false, usedUp(), true},
		"all guards, kept turns":                   {func(*guards) {}, true, state{}, true},
		"all guards, kept turns, budget used up":   {func(*guards) {}, true, usedUp(), true},
		"all guards, kept turns, share unused":     {func(*guards) {}, true, unused(), true},
		"writes without the row's version":         {func(g *guards) { g.versions = false }, false, state{}, false},
		"turns settled at nothing":                 {func(g *guards) { g.settles = false }, false, state{}, false},
		"shares of others not counted":             {func(g *guards) { g.others = false }, false, state{}, false},
		"short turns beyond the share":             {func(g *guards) { g.share = false }, false, usedUp(), false},
		"share reduced below open turns":           {func(g *guards) { g.reserved = false }, true, unused(), false},
		"share reduced below open turns, no share": {func(g *guards) { g.reserved = false }, true, state{}, false},
		"share used after a reduction may apply":   {func(g *guards) { g.limit = false }, true, unused(), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := model{guards: allGuards, kept: tt.kept}
			tt.without(&m.guards)
			steps := maxSteps
			if tt.kept {
				steps = maxKeptSteps
			}
			states, history := m.explore(tt.first, steps)
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
