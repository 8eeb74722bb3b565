package hgpeer_test

import (
	"cmp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/peer/hgpeer"
)

// hubLoss is the loss of the strongest VMs of a large site.
type hubLoss struct {
	size, domains int
	// domainsHit is the number of failure domains that lose their hubs at once.
	domainsHit int
	// lost is the number of the strongest VMs that each of these loses; the first three are hubs.
	lost int
	// timeout is the time after which calls to the hubs fail: at once if their processes end, later if they lose power.
	timeout time.Duration
}

// Guards against the removal of rows of live VMs that others hear of through hubs only, when the hubs are lost.
func TestLossOfHubsRemovesNoLiveVM(t *testing.T) {
	const heartbeatTimeout = 600 * time.Millisecond
	tests := map[string]hubLoss{
		"24, hubs of one domain":  {24, 3, 1, 3, 0},
		"62, hubs of all domains": {62, 3, 3, 3, heartbeatTimeout},
		"62, a third of all VMs":  {62, 3, 3, 8, heartbeatTimeout},
		"62, a whole domain":      {62, 3, 1, 21, heartbeatTimeout},
		"62, half of a domain":    {62, 3, 1, 11, heartbeatTimeout},
		"295, twice the hubs":     {295, 3, 3, 6, heartbeatTimeout},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tt.play(t)
		})
	}
}

// As above, where new hubs are found only after three times as many have been tried, and lost ones are tried again meanwhile.
func TestLossOfManyHubsRemovesNoLiveVM(t *testing.T) {
	hubLoss{150, 3, 3, 9, 600 * time.Millisecond}.play(t)
}

// play checks whose rows the others remove within 15 s.
func (tt hubLoss) play(t *testing.T) {
	const checkPeriod = 250 * time.Millisecond
	f := newFleet(tt.size, tt.domains)
	f.timeout = tt.timeout
	// VMs remove nothing before this age.
	f.run(hgpeer.JoinTime + time.Second)
	byDomain := lo.GroupBy(lo.Values(f.nodes), func(m *hgpeer.Members) string { return m.Self().Domain })
	domains := lo.Keys(byDomain)
	slices.Sort(domains)
	for _, d := range domains[:tt.domainsHit] {
		nodes := lo.Map(byDomain[d], func(m *hgpeer.Members, _ int) hgpeer.Info { return m.Self() })
		slices.SortFunc(nodes, func(a, b hgpeer.Info) int {
			return cmp.Or(cmp.Compare(b.Power, a.Power), strings.Compare(a.Name, b.Name))
		})
		for _, i := range nodes[:tt.lost] {
			f.down[i.Name] = true
		}
	}
	began := f.clock.now
	removed := map[string]time.Duration{}
	for f.clock.now-began < 15*time.Second {
		f.run(checkPeriod)
		for _, name := range f.names {
			if f.down[name] {
				continue
			}
			for _, gone := range f.nodes[name].RowsToRemove() {
				if _, ok := removed[gone.Name]; !ok {
					removed[gone.Name] = f.clock.now - began
				}
			}
		}
	}
	live := lo.OmitByKeys(removed, lo.Keys(f.down))
	if len(live) > 0 {
		t.Errorf("%d rows of live VMs removed, the first after %v", len(live), lo.Min(lo.Values(live)))
	}
	if n := len(removed) - len(live); n != len(f.down) {
		t.Errorf("%d of %d rows of VMs that are gone removed", n, len(f.down))
	}
}
