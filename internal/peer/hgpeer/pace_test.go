package hgpeer_test

import (
	"testing"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/serve/hgpace"
)

// A verdict takes the statements of two nodes. Those of nodes in different failure domains must reach every node, on small sites
// and through the hubs of large ones, and must not circulate after their nodes have withdrawn them.
func TestFleetPace(t *testing.T) {
	tests := map[string]struct{ size, domains int }{"12": {12, 3}, "48": {48, 3}, "100": {100, 4}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(tt.size, tt.domains)
			f.inFlight = map[string]int{"replica": 1}
			f.converge(10 * time.Second)
			reporters := []string{f.names[tt.size-2], f.names[tt.size-3]}
			const repeat = 100 * time.Millisecond
			state := func(d time.Duration) {
				for range d / repeat {
					for _, vm := range reporters {
						f.nodes[vm].SetPace(hgpace.News{Overdue: []hgpace.Overdue{{VM: vm, ID: "replica", Born: "1", Requests: 1, Silence: time.Second}}})
					}
					f.run(repeat)
				}
			}
			state(2 * time.Second)
			for _, vm := range f.names {
				got := lo.Map(f.nodes[vm].Pace().Overdue, func(o hgpace.Overdue, _ int) string { return o.VM })
				if want := lo.Without(reporters, vm); !lo.ElementsMatch(want, got) {
					t.Errorf("%s has statements of %v, want %v", vm, got, want)
				}
			}
			for _, vm := range reporters {
				f.nodes[vm].SetPace(hgpace.News{})
			}
			f.run(4 * time.Second)
			for _, vm := range f.names {
				if n := len(f.nodes[vm].Pace().Overdue); n > 0 {
					t.Errorf("%s still has %d statements that were withdrawn", vm, n)
				}
			}
		})
	}
}
