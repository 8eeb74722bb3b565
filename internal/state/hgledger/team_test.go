package hgledger_test

import (
	"testing"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/state/hgledger"
	"hyssopgrade/internal/state/hgturn"
)

// Guards against a team that continues another one's turn, from memory, from the store or from another program, and against a reply
// that tells it from a turn that does not exist.
func TestTurnsOfTeams(t *testing.T) {
	store := hgstore.NewMemory()
	first := newLedger(t, "a/1", store)
	keep(t, first, "p", hgturn.Turn{ID: "free", Input: []byte("in0 ")})
	keep(t, first, "p", hgturn.Turn{ID: "a1", Previous: "free", Team: "a", Input: []byte("in1 ")})
	keep(t, first, "p", hgturn.Turn{ID: "a2", Previous: "a1", Team: "a", Input: []byte("in2 ")})
	tests := map[string]struct {
		team, previous string
		want           hgledger.Verdict
		text           string
	}{
		"own turn":                  {"a", "a2", hgledger.Granted, "in0 in1 in2 "},
		"turn of no team":           {"b", "free", hgledger.Granted, "in0 "},
		"turn of no team by none":   {"", "free", hgledger.Granted, "in0 "},
		"turn of another team":      {"b", "a2", hgledger.NoTurn, ""},
		"turn of a team by none":    {"", "a1", hgledger.NoTurn, ""},
		"turn that does not exist":  {"b", "zz", hgledger.NoTurn, ""},
		"own turn after the others": {"a", "a1", hgledger.Granted, "in0 in1 "},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			second := newLedger(t, "b/1", store)
			for _, l := range []*hgledger.Ledger{first, second, second} {
				for _, program := range []string{"p", "q"} {
					got := l.Open(t.Context(), hgledger.OpenRequest{Program: program, Attempt: "x", Previous: tt.previous, Team: tt.team})
					if got.Verdict != tt.want || string(got.Text) != tt.text {
						t.Errorf("%v, program %s: verdict %s, text %q", l, program, got.Verdict, got.Text)
					}
				}
			}
		})
	}
	// A turn of another team under the same identifier, which callers choose, does not hide the own one.
	keep(t, first, "r", hgturn.Turn{ID: "a2", Team: "b", Input: []byte("other ")})
	for team, want := range map[string]string{"a": "in0 in1 in2 ", "b": "other "} {
		if got := newLedger(t, "c/"+team, store).Open(t.Context(), hgledger.OpenRequest{Program: "s-" + team, Attempt: "x", Previous: "a2", Team: team}); string(got.Text) != want {
			t.Errorf("team %s: verdict %s, text %q", team, got.Verdict, got.Text)
		}
	}
}
