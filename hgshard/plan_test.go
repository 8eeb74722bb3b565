package hgshard

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/hgmember"
	"hyssopgrade/internal/state/hgjournal"
)

// viewOfA returns the view of node a, to which b is live and c is dead, and one shard for which a and one for which b is preferred.
func viewOfA(t *testing.T) (v *hgmember.View, mine, theirs uint32) {
	t.Helper()
	v = hgmember.NewView(hgmember.Member{ID: "a", Run: "a1", Domain: "x"}, hgmember.Limits{Silent: time.Second, Stale: time.Minute, Gone: time.Hour})
	v.SetRegistered([]hgmember.Member{{ID: "b", Run: "b1", Domain: "y"}, {ID: "c", Run: "c1", Domain: "z"}}, 0)
	v.RecordHeartbeat(hgmember.Heartbeat{ID: "b", Run: "b1", Silent: []string{"c"}}, 0)
	for s := range uint32(100) {
		m, _ := Preferred(s, v.EligibleOwners(false, 0))
		if m.ID == "a" {
			mine = s
		} else {
			theirs = s
		}
	}
	return v, mine, theirs
}

func TestPlan(t *testing.T) {
	row := func(owner, run string) hgjournal.ShardRow {
		return hgjournal.ShardRow{Epoch: 3, Owner: owner, Run: run}
	}
	tests := map[string]struct {
		preferred bool
		row       hgjournal.ShardRow
		held      bool
		draining  bool
		want      string
	}{
		"no owner":                           {true, row("", ""), false, false, "claim"},
		"no owner, another is preferred":     {false, row("", ""), false, false, "nothing"},
		"owned by a live node":               {true, row("b", "b1"), false, false, "nothing"},
		"owned by an earlier run":            {true, row("b", "b0"), false, false, "claim"},
		"owned by a dead node":               {true, row("c", "c1"), false, false, "claim"},
		"held":                               {true, row("a", "a1"), true, false, "nothing"},
		"held, another is preferred":         {false, row("a", "a1"), true, false, "nothing"},
		"own row, not held":                  {true, row("a", "a1"), false, false, "claim"},
		"own row, not held, other preferred": {false, row("a", "a1"), false, false, "claim"},
		"draining":                           {true, row("a", "a1"), true, true, "release"},
		"draining, own row, not held":        {true, row("a", "a1"), false, true, "claim"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			v, mine, theirs := viewOfA(t)
			shard := theirs
			if tc.preferred {
				shard = mine
			}
			rows := []hgjournal.VersionedRow{{Shard: shard, Version: 1, Row: tc.row}}
			plan := NewPlanner(time.Second).Plan(rows, v, func(uint32) bool { return tc.held }, tc.draining, 0)
			got := "nothing"
			switch {
			case len(plan.Claim) > 0:
				got = "claim"
			case len(plan.Release) > 0:
				got = "release"
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("plan (-want +got):\n%s", diff)
			}
		})
	}
}

// TestEveryShardFindsAnOwner applies the plans of three nodes that hear each other, from every mixture of owners, held or not.
// Afterwards each shard must be held by its preferred node.
func TestEveryShardFindsAnOwner(t *testing.T) {
	const shards = 64
	ids := []string{"a", "b", "c"}
	var rows []hgjournal.VersionedRow
	held := map[string]map[uint32]bool{"a": {}, "b": {}, "c": {}}
	for s := range uint32(shards) {
		owner := append(ids, "", "dead")[s%5]
		rows = append(rows, hgjournal.VersionedRow{Shard: s, Row: hgjournal.ShardRow{Owner: owner, Run: owner + "1"}})
		if h := held[owner]; h != nil && s%2 == 0 {
			h[s] = true
		}
	}
	planners := map[string]*Planner{}
	for step := range 10 {
		now := time.Duration(step) * 400 * time.Millisecond
		for _, id := range ids {
			if planners[id] == nil {
				planners[id] = NewPlanner(time.Second)
			}
			plan := planners[id].Plan(rows, viewOf(id, ids, now), func(s uint32) bool { return held[id][s] }, false, now)
			for _, r := range plan.Claim {
				rows[r.Shard].Row = hgjournal.ShardRow{Owner: id, Run: id + "1"}
				held[id][r.Shard] = true
			}
			for _, s := range plan.Release {
				rows[s].Row = hgjournal.ShardRow{}
				held[id][s] = false
			}
		}
	}
	for _, r := range rows {
		m, _ := Preferred(r.Shard, viewOf("a", ids, 0).EligibleOwners(false, 0))
		if r.Row.Owner != m.ID || !held[m.ID][r.Shard] {
			t.Errorf("shard %d: row names %q, preferred is %q, which holds it: %t", r.Shard, r.Row.Owner, m.ID, held[m.ID][r.Shard])
		}
	}
}

// viewOf returns the view of a node to which all others are live.
func viewOf(id string, ids []string, now time.Duration) *hgmember.View {
	self := hgmember.Member{ID: id, Run: id + "1", Domain: fmt.Sprint("domain of ", id)}
	v := hgmember.NewView(self, hgmember.Limits{Silent: time.Second, Stale: time.Minute, Gone: time.Hour})
	var members []hgmember.Member
	for _, other := range ids {
		members = append(members, hgmember.Member{ID: other, Run: other + "1", Domain: fmt.Sprint("domain of ", other)})
	}
	v.SetRegistered(members, now)
	for _, other := range ids {
		v.RecordHeartbeat(hgmember.Heartbeat{ID: other, Run: other + "1"}, now)
	}
	return v
}
