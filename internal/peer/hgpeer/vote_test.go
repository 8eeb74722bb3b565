package hgpeer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/peer/hgpeer"
)

// Guards against majorities with votes of VMs that others do not count, as these may be a majority without them at the same time.
func TestOnlyMembersVote(t *testing.T) {
	tests := map[string]struct {
		// counted are the peers that count, of which heard ones answer; uncounted ones answer as well.
		counted, heard int
		uncounted      []hgpeer.Info
		registered     bool
		stopping       bool
		majority       bool
	}{
		"all members":                                   {counted: 4, heard: 4, majority: true},
		"half of the members":                           {counted: 3, heard: 1},
		"half and one that stops":                       {counted: 3, heard: 1, uncounted: []hgpeer.Info{stopped("x", "north")}, registered: true},
		"one and one that stops":                        {counted: 2, heard: 0, uncounted: []hgpeer.Info{stopped("x", "north")}, registered: true},
		"most of the members and that":                  {counted: 2, heard: 1, uncounted: []hgpeer.Info{stopped("x", "north")}, registered: true, majority: true},
		"half of the members, to one that stops itself": {counted: 4, heard: 2, stopping: true},
		"most of the members, to one that stops itself": {counted: 3, heard: 2, stopping: true, majority: true},
		"one and two without rows":                      {counted: 2, heard: 0, uncounted: []hgpeer.Info{info("x", "north"), info("y", "north")}},
		"one and two with new rows":                     {counted: 2, heard: 0, uncounted: []hgpeer.Info{joining("x"), joining("y")}, registered: true},
		"most of the members and one without":           {counted: 4, heard: 3, uncounted: []hgpeer.Info{info("x", "north")}, majority: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			self := info("self", "north")
			self.Stopping = tt.stopping
			m := hgpeer.NewMembers(&clock{now: time.Minute}, self)
			members := lo.Times(tt.counted, func(i int) hgpeer.Info { return info(fmt.Sprint("peer", i), "north") })
			m.SetRegistered(append(members, lo.Ternary(tt.registered, tt.uncounted, nil)...))
			answered := append(members[:tt.heard:tt.heard], tt.uncounted...)
			for _, i := range answered {
				m.HandleReply(hgpeer.Beat{Info: i})
			}
			if m.LacksMajority() == tt.majority {
				t.Errorf("lacks a majority: %t, want %t", tt.majority, !tt.majority)
			}
			if m.IsMajority(answered) != tt.majority {
				t.Errorf("is a majority: %t, want %t", !tt.majority, tt.majority)
			}
			if m.MayClaim(answered, nil) != tt.majority {
				t.Errorf("may claim: %t, want %t", !tt.majority, tt.majority)
			}
		})
	}
}

func joining(name string) hgpeer.Info {
	i := info(name, "north")
	i.Joining = true
	return i
}
