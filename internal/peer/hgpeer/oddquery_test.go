package hgpeer_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"hyssopgrade/internal/peer/hgpeer"
)

// Guards against a heartbeat whose position is beyond this node's last change, which ended the process of a hub.
func TestHeartbeatWithPositionBeyondLastChange(t *testing.T) {
	m := hgpeer.NewMembers(&clock{now: time.Minute}, info("a", "north"))
	var nodes []hgpeer.Info
	for i := range 20 {
		nodes = append(nodes, info(fmt.Sprint("b", i), "north"))
	}
	m.SetRegistered(nodes)
	m.AnnouncePrograms([]uint64{1, 2, 3})
	run := m.HandleHeartbeat(hgpeer.Beat{Info: nodes[0]}).Now.Run
	for name, known := range map[string]hgpeer.Cursor{
		"programs by one":     {Run: run, Programs: 4},
		"programs by far":     {Run: run, Programs: math.MaxUint64},
		"claims":              {Run: run, Claims: math.MaxUint64},
		"of no run":           {Claims: math.MaxUint64, Programs: math.MaxUint64},
		"the last change":     {Run: run, Programs: 3},
		"before first change": {Run: run},
	} {
		t.Run(name, func(t *testing.T) {
			u := m.HandleHeartbeat(hgpeer.Beat{Info: nodes[0], Ask: hgpeer.GossipQuery{Known: known}})
			if u == nil || u.Now.Programs != 3 {
				t.Errorf("update %+v", u)
			}
		})
	}
}
