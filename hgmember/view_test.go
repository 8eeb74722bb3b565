package hgmember

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var lim = Limits{Silent: 2 * time.Second, Stale: 15 * time.Second, Gone: 300 * time.Second}

// TestDead checks whether node a, which last read the registrations at 0 s, may take over the shards of node b.
func TestDead(t *testing.T) {
	beat := func(id string, silent ...string) Heartbeat { return Heartbeat{ID: id, Run: id + "1", Silent: silent} }
	now := 10 * time.Second
	tests := map[string]struct {
		events func(v *View)
		at     time.Duration
		want   bool
	}{
		"heard":                        {func(v *View) { v.RecordHeartbeat(beat("b"), now) }, now, false},
		"silent to this node alone":    {func(*View) {}, now, false},
		"another domain confirms":      {func(v *View) { v.RecordHeartbeat(beat("c", "b"), now) }, now, true},
		"only the own domain confirms": {func(v *View) { v.RecordHeartbeat(beat("d", "b"), now) }, now, false},
		"a peer still hears it":        {func(v *View) { v.RecordHeartbeat(beat("c", "b"), now); v.RecordHeartbeat(beat("d"), now) }, now, false},
		"registration is stale":        {func(*View) {}, 16 * time.Second, true},
		"registered by another run":    {func(v *View) { v.SetRegistered([]Member{{ID: "b", Run: "b2"}}, now) }, now, true},
		"heard as another run":         {func(v *View) { v.RecordHeartbeat(Heartbeat{ID: "b", Run: "b2"}, now) }, now, true},
		"registration was removed":     {func(v *View) { v.SetRegistered([]Member{{ID: "c", Run: "c1"}}, now) }, now, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			v := NewView(Member{ID: "a", Run: "a1", Domain: "x"}, lim)
			v.SetRegistered([]Member{
				{ID: "a", Run: "a1", Domain: "x"}, {ID: "b", Run: "b1", Domain: "y"},
				{ID: "c", Run: "c1", Domain: "z"}, {ID: "d", Run: "d1", Domain: "x"},
			}, 0)
			tc.events(v)
			if diff := cmp.Diff(tc.want, v.Dead("b", "b1", tc.at)); diff != "" {
				t.Errorf("dead (-want +got):\n%s", diff)
			}
		})
	}
}
