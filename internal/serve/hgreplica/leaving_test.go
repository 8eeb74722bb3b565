package hgreplica_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/serve/hgreplica"
)

// born returns the registration of an incarnation of replica "b". Incarnations without a start time cannot be told apart.
func born(at string) hgreplica.Registration {
	e := entry("b", "north")
	e.Born = at
	return e
}

// A replica that announced that it is leaving must get no requests until it has restarted, even while its registration still
// lists it as ready or vanishes and comes back.
func TestReplicaSaysThatItLeaves(t *testing.T) {
	tests := map[string]struct {
		first hgreplica.Registration
		// then holds the registrations that follow; nil removes the registration.
		then []*hgreplica.Registration
		used bool
	}{
		"nothing changes":            {born("1"), nil, false},
		"listed again as it was":     {born("1"), []*hgreplica.Registration{new(born("1"))}, false},
		"off the list and on again":  {born("1"), []*hgreplica.Registration{nil, new(born("1"))}, false},
		"started again":              {born("1"), []*hgreplica.Registration{new(born("2"))}, true},
		"off the list, then started": {born("1"), []*hgreplica.Registration{nil, new(born("2"))}, true},
		"runs cannot be told apart":  {born(""), []*hgreplica.Registration{nil, new(born(""))}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, _ := newSet(tc.first)
			l, _ := s.Pick(hgreplica.Want{Service: "s"})
			if !l.MarkLeaving() || l.MarkLeaving() {
				t.Error("the first announcement must be news, the second one must not")
			}
			l.Release()
			for _, e := range tc.then {
				entries := map[string]hgreplica.Registration{}
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

// The holder of a lease passes the announcement of a leaving replica on to the placer, and adopts no further lease there.
func TestPlacerHearsThatReplicaLeaves(t *testing.T) {
	placer, _ := newSet(born("1"))
	holder, _ := newSet(born("1"))
	given, _ := placer.Pick(hgreplica.Want{Service: "s"})
	l, _ := holder.Adopt("b", "", hgreplica.Decision{}, given.Apply)
	l.MarkLeaving()
	l.Release()
	if diff := cmp.Diff([]bool{false, false}, []bool{placer.HasAny(hgreplica.Want{Service: "s"}), holder.HasAny(hgreplica.Want{Service: "s"})}); diff != "" {
		t.Errorf("placer and holder still use the replica (-want +got):\n%s", diff)
	}
	if _, ok := holder.Adopt("b", "", hgreplica.Decision{}, given.Apply); ok {
		t.Error("adopted a lease on a leaving replica")
	}
}

// The end of a replica that had announced that it is leaving is expected: it must not be reported as a crash, for which its
// unanswered requests would be blamed. The restart that follows it without an announcement is reported.
func TestLeavingReplicaHasNotEnded(t *testing.T) {
	s, c := newSet(born("1"))
	var ended []string
	s.OnEnd(func(id string) { ended = append(ended, id) })
	l, _ := s.Pick(hgreplica.Want{Service: "s"})
	l.MarkLeaving()
	c.now += time.Second
	s.Apply(byID([]hgreplica.Registration{born("2")}), 0)
	s.Apply(byID([]hgreplica.Registration{born("3")}), 0)
	if diff := cmp.Diff([]string{"b"}, ended); diff != "" {
		t.Errorf("ended (-want +got):\n%s", diff)
	}
}
