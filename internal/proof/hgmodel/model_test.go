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
