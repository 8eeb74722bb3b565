package hgpeer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/peer/hgpeer"
)

// While VMs are removed and added, VMs on two sides of a network partition never both act for a majority, one with the store and one without.
func TestOneMajorityWhileVMsAreRemoved(t *testing.T) {
	tests := map[string]struct {
		mutant mutant
		holds  bool
	}{
		"as built":                     {mutant{}, true},
		"old copies of the rows count": {mutant{staleViews: true}, false},
	}
	const seeds, steps = 200, 40
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				s, r := newSite(t, tc.mutant, 2), rand.New(rand.NewPCG(seed, 12))
				for range steps {
					s.step(r)
					without, with, ok := s.rivals()
					if ok && tc.holds {
						t.Fatalf("seed %d: %s may claim without a row while %s may exceed the budget:\n%s", seed, without, with, s.history("none"))
					}
					if ok {
						return
					}
				}
			}
			if !tc.holds {
				t.Error("no seed has two majorities without the guard")
			}
		})
	}
}

// VMs that joined at the same time on one side of a network partition must not outvote the members that do not know of them yet.
func TestVMsWithNewRowsHaveNoVote(t *testing.T) {
	tests := map[string]struct {
		joining, known int
		self, lacks    bool
	}{
		"members only":             {0, 2, false, false},
		"as many new ones":         {2, 2, false, false},
		"more new ones":            {3, 1, false, true},
		"this VM is new":           {0, 2, true, false},
		"this VM and half are new": {1, 1, true, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			self := info("self", "north")
			self.Joining = tc.self
			m := hgpeer.NewMembers(&clock{now: time.Minute}, self)
			peers := lo.Times(tc.joining+tc.known, func(i int) hgpeer.Info {
				in := info(fmt.Sprint("peer", i), "north")
				in.Joining = i < tc.joining
				return in
			})
			m.SetRegistered(peers)
			for _, in := range peers {
				m.HandleReply(hgpeer.Beat{Info: in})
			}
			if lacks := m.LacksMajority(); lacks != tc.lacks {
				t.Errorf("lacks a majority: %t, want %t", lacks, tc.lacks)
			}
		})
	}
}
