package hgturn_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/hgcodec"
	"hyssopgrade/internal/state/hgturn"
)

func TestPath(t *testing.T) {
	tree := hgturn.Tree{
		"1":  {ID: "1", Input: []byte("a"), Output: []byte("A\n")},
		"2":  {ID: "2", Previous: "1", Input: []byte("b"), Output: []byte("B\n")},
		"2x": {ID: "2x", Previous: "1", Input: []byte("x"), Output: []byte("X\n")},
		"4":  {ID: "4", Previous: "3"},
		"l":  {ID: "l", Previous: "m"},
		"m":  {ID: "m", Previous: "l"},
	}
	tests := map[string]struct{ id, text, missing string }{
		"start":         {"", "", ""},
		"chain":         {"2", "aA\nbB\n", ""},
		"other branch":  {"2x", "aA\nxX\n", ""},
		"unknown":       {"9", "", "9"},
		"gap":           {"4", "", "3"},
		"never a cycle": {"l", "", "l"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			path, missing := tree.Path(tt.id)
			if name == "never a cycle" {
				if missing == "" {
					t.Error("no identifier reported missing for a cycle of turns")
				}
				return
			}
			if text := string(hgturn.Text(path)); text != tt.text || missing != tt.missing {
				t.Errorf("%q, missing %q", text, missing)
			}
		})
	}
}

// Guards against rows of turns of no team that differ from those of builds without teams, which reject unknown fields.
func TestTurnWithoutTeamKeepsItsEncoding(t *testing.T) {
	type turn struct {
		ID, Previous  string
		Input, Output []byte
	}
	old, err := hgcodec.CBOR[turn]{}.Encode(turn{ID: "2", Previous: "1", Input: []byte("b"), Output: []byte("B\n")})
	if err != nil {
		t.Fatal(err)
	}
	now, err := hgcodec.CBOR[hgturn.Turn]{}.Encode(hgturn.Turn{ID: "2", Previous: "1", Input: []byte("b"), Output: []byte("B\n")})
	if diff := cmp.Diff(old, now); err != nil || diff != "" {
		t.Errorf("%v (-want +got):\n%s", err, diff)
	}
}
