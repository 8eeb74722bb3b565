package hgreplica_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/serve/hgreplica"
)

// born returns the registration of a run of replica "b"; an empty time of birth tells no runs apart.
func born(at string) hgreplica.Entry {
	e := entry("b", "north")
	e.Born = at
	return e
}

func TestReplicaSaysThatItLeaves(t *testing.T) {
	tests := map[string]struct {
		first hgreplica.Entry
		// then are the registrations that follow; nil takes it off the list.
		then []*hgreplica.Entry
		used bool
	}{
		"nothing changes":            {born("1"), nil, false},
		"listed again as it was":     {born("1"), []*hgreplica.Entry{new(born("1"))}, false},
		"off the list and on again":  {born("1"), []*hgreplica.Entry{nil, new(born("1"))}, false},
		"started again":              {born("1"), []*hgreplica.Entry{new(born("2"))}, true},
		"off the list, then started": {born("1"), []*hgreplica.Entry{nil, new(born("2"))}, true},
		"runs cannot be told apart":  {born(""), []*hgreplica.Entry{nil, new(born(""))}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, _ := newSet(tc.first)
			l, _ := s.Pick(hgreplica.Want{Service: "s"})
			if !l.Leaves() || l.Leaves() {
				t.Error("the first word is news, the second one is not")
			}
			l.Release()
			for _, e := range tc.then {
				entries := map[string]hgreplica.Entry{}
				if e != nil {
					entries[e.ID] = *e
				}
				s.Apply(entries, 0)
			}
			if used := s.HasAny(hgreplica.Want{Service: "s"}); used != tc.used {
				t.Errorf("used %v, want %v", used, tc.used)
			}
		})
	}
}

// The holder of a place tells the placer what the replica said, and takes no further place there.
func TestPlacerHearsThatReplicaLeaves(t *testing.T) {
	placer, _ := newSet(born("1"))
	holder, _ := newSet(born("1"))
	given, _ := placer.Pick(hgreplica.Want{Service: "s"})
	l, _ := holder.Adopt("b", "", hgreplica.Why{}, given.Apply)
	l.Leaves()
	l.Release()
	if diff := cmp.Diff([]bool{false, false}, []bool{placer.HasAny(hgreplica.Want{Service: "s"}), holder.HasAny(hgreplica.Want{Service: "s"})}); diff != "" {
		t.Errorf("placer and holder use it (-want +got):\n%s", diff)
	}
	if _, ok := holder.Adopt("b", "", hgreplica.Why{}, given.Apply); ok {
		t.Error("a place that was given before is taken")
	}
}

// A replica that had said that it leaves has not ended under the requests that it did not answer.
func TestLeavingReplicaHasNotEnded(t *testing.T) {
	s, c := newSet(born("1"))
	var ended []string
	s.OnEnd(func(id string) { ended = append(ended, id) })
	l, _ := s.Pick(hgreplica.Want{Service: "s"})
	l.Leaves()
	c.now += time.Second
	s.Apply(byID([]hgreplica.Entry{born("2")}), 0)
	s.Apply(byID([]hgreplica.Entry{born("3")}), 0)
	if diff := cmp.Diff([]string{"b"}, ended); diff != "" {
		t.Errorf("ended (-want +got):\n%s", diff)
	}
}
