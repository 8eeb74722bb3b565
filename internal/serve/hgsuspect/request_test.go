package hgsuspect_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/serve/hgsuspect"
)

func TestNewRequest(t *testing.T) {
	type identity struct{ caller, method, uri, object, previous, body string }
	digests := func(i identity) hgsuspect.Request {
		return hgsuspect.NewRequest("tools", i.caller, i.method, i.uri, i.object, i.previous, []byte(i.body))
	}
	base := identity{"program a", "POST", "/turn?x=1", "object", "turn-1", "input"}
	same := base
	other := func(change func(i *identity)) identity {
		i := base
		change(&i)
		return i
	}
	type equal struct{ Content, Caller bool }
	tests := map[string]struct {
		identity identity
		want     equal
	}{
		"the same":             {same, equal{true, true}},
		"other caller":         {other(func(i *identity) { i.caller = "program b" }), equal{true, false}},
		"other method":         {other(func(i *identity) { i.method = "GET" }), equal{false, false}},
		"other path":           {other(func(i *identity) { i.uri = "/turn?x=2" }), equal{false, false}},
		"other object":         {other(func(i *identity) { i.object = "" }), equal{false, false}},
		"other turns before":   {other(func(i *identity) { i.previous = "turn-2" }), equal{false, false}},
		"no turn before":       {other(func(i *identity) { i.previous = "" }), equal{false, false}},
		"other body":           {other(func(i *identity) { i.body = "inputs" }), equal{false, false}},
		"body as turn before":  {other(func(i *identity) { i.previous, i.body = "input", "turn-1" }), equal{false, false}},
		"parts divided anew":   {other(func(i *identity) { i.previous, i.body = "turn-1i", "nput" }), equal{false, false}},
		"other caller and URI": {other(func(i *identity) { i.caller, i.uri = "program b", "/" }), equal{false, false}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := digests(base), digests(tt.identity)
			if diff := cmp.Diff(tt.want, equal{a.Content == b.Content, a.Caller == b.Caller}); diff != "" {
				t.Errorf("equal digests (-want +got):\n%s", diff)
			}
		})
	}
}
