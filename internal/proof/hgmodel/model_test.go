package hgmodel_test

import (
	"testing"

	"hyssopgrade/internal/proof/hgmodel"
)

func TestPolicies(t *testing.T) {
	for _, rate := range []float64{0.3, 0.7, 1} {
		for _, p := range []func(*hgmodel.Run) hgmodel.Policy{hgmodel.NewRoundRobin, hgmodel.NewLeastInFlight, hgmodel.NewEach, hgmodel.NewEachFetching} {
			r := hgmodel.Play(hgmodel.Manifold(rate), p, 1)
			t.Logf("%.1f %-16s worth %.3f read %.1fM moved %.1fM refused %d shed %d pre %d %+v", rate, r.Policy, r.Worth, float64(r.Read)/1e6, float64(r.Moved)/1e6, r.Refused, r.Shed, r.Preempted, r.ByKind)
		}
	}
}

func TestPlacers(t *testing.T) {
	admit := func(f float64) func(t *hgmodel.Turn, waiting, slots int) bool {
		return func(_ *hgmodel.Turn, waiting, slots int) bool { return float64(waiting) < f*float64(slots) }
	}
	cfgs := []hgmodel.PlacerConfig{
		{Name: "arrival w1 nofetch", Window: 1, Rank: hgmodel.Arrival},
		{Name: "arrival w1", Window: 1, Fetch: true, Rank: hgmodel.Arrival},
		{Name: "arrival w1 admit.3", Window: 1, Fetch: true, Rank: hgmodel.Arrival, Admit: admit(0.3)},
		{Name: "under w1", Window: 1, Fetch: true, Rank: hgmodel.UnderWayFirst},
		{Name: "under w1 admit.1", Window: 1, Fetch: true, Rank: hgmodel.UnderWayFirst, Admit: admit(0.1)},
		{Name: "under w1 admit.3", Window: 1, Fetch: true, Rank: hgmodel.UnderWayFirst, Admit: admit(0.3)},
		{Name: "under w1 admit.6", Window: 1, Fetch: true, Rank: hgmodel.UnderWayFirst, Admit: admit(0.6)},
		{Name: "under w1.2 admit.3", Window: 1.2, Fetch: true, Rank: hgmodel.UnderWayFirst, Admit: admit(0.3)},
	}
	for _, rate := range []float64{0.7, 0.85, 1} {
		for _, cfg := range cfgs {
			r := hgmodel.Play(hgmodel.Manifold(rate), hgmodel.NewPlacer(cfg), 1)
			t.Logf("%.2f %-16s worth %.3f read %.1fM moved %.1fM refused %d shed %d pre %d %+v", rate, r.Policy, r.Worth, float64(r.Read)/1e6, float64(r.Moved)/1e6, r.Refused, r.Shed, r.Preempted, r.ByKind)
		}
	}
}
