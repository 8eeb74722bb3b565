package hgturn

import (
	"slices"

	"github.com/samber/lo"
)

// Turn is a turn whose whole answer has been received. It is stored encoded, so its field names must not change.
type Turn struct {
	// ID identifies the attempt that ran the turn; Previous identifies the turn that it continues, and is empty for a
	// first turn.
	ID       string
	Previous string
	// Team is the team that the turn belongs to; empty for turns of no team, whose encoded form does not name the field.
	Team string `cbor:",omitempty"`
	// Input is the body of the caller's request. Output is the data of the events of the answer, each followed by a
	// line feed.
	Input  []byte
	Output []byte
}

// Tree maps identifiers to the turns of a program. Several turns may continue the same turn, as branches.
type Tree map[string]Turn

// Of returns the turns that a team may continue: its own and those of no team. The tree itself is returned if these are all.
func (t Tree) Of(team string) Tree {
	mayContinue := func(_ string, turn Turn) bool { return turn.Team == "" || turn.Team == team }
	for id, turn := range t {
		if !mayContinue(id, turn) {
			return lo.PickBy(t, mayContinue)
		}
	}
	return t
}

// Path returns a turn and its ancestors, the oldest first. If the turn or an ancestor is not in the tree, it returns
// that identifier as missing; a cycle of turns counts as missing, too.
func (t Tree) Path(id string) (path []Turn, missing string) {
	for id != "" {
		turn, ok := t[id]
		if !ok || len(path) > len(t) {
			return nil, id
		}
		path = append(path, turn)
		id = turn.Previous
	}
	slices.Reverse(path)
	return path, ""
}

// Size returns the number of bytes of the text of a path.
func Size(path []Turn) (n int) {
	for _, t := range path {
		n += len(t.Input) + len(t.Output)
	}
	return n
}

// Text joins the inputs and outputs of the turns of a path, in order.
func Text(path []Turn) []byte {
	text := make([]byte, 0, Size(path))
	for _, t := range path {
		text = append(append(text, t.Input...), t.Output...)
	}
	return text
}
