package hgteam_test

import (
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/serve/hgteam"
)

// Guards against a key that several teams hold and that is valid for one of them, and against parts of a replaced team that stay.
func TestByKey(t *testing.T) {
	team := func(name string, keys ...string) (t hgteam.Team) {
		t.Name = name
		for _, k := range keys {
			t.Keys = append(t.Keys, hgteam.DigestKey(k))
		}
		return t
	}
	teams := hgteam.NewTeams(team("a", "old"), team("a", "a1", "a2", "a1", "ab"), team("b", "ab", "b1", "abc"), team("c", "abc"), team("d", "abc"), team("e"))
	want := map[string]string{"a1": "a", "a2": "a", "b1": "b", "ab": "", "abc": "", "old": "", "": "", "A1": ""}
	got := map[string]string{}
	for key := range want {
		holder, ok := teams.ByKey(hgteam.DigestKey(key))
		got[key] = holder.Name
		if ok != (holder.Name != "") {
			t.Errorf("key %q of team %q: %v", key, holder.Name, ok)
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"a", "b", "c", "d"}, teams.SharedBy()); diff != "" || teams.SharedKeys() != 2 {
		t.Errorf("%d shared keys (-want +got):\n%s", teams.SharedKeys(), diff)
	}
}

// Guards against equal desired states that compare as different because of the order in which shared keys were found.
func TestEqualTeamsCompareEqual(t *testing.T) {
	teams := func() *hgteam.Teams {
		k, l := hgteam.DigestKey("k"), hgteam.DigestKey("l")
		return hgteam.NewTeams(hgteam.Team{Name: "a", Keys: []hgteam.KeyDigest{k, l}}, hgteam.Team{Name: "b", Keys: []hgteam.KeyDigest{l, k}})
	}
	for range 100 {
		if !reflect.DeepEqual(teams(), teams()) {
			t.Fatal("two sets of the same teams differ")
		}
	}
}
