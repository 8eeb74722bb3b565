package hgmodel_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgmodel"
)

func TestTry(t *testing.T) {
	e := hgmodel.Experiment{Seeds: 3, Loads: []hgmodel.Workload{hgmodel.Manifold(0.85), hgmodel.Manifold(1)}}
	e.Policies = append(e.Policies, hgmodel.NewEach)
	for _, window := range []float64{3} {
		for _, charge := range []int{40, 80, 120} {
			for _, f := range []float64{0.9, 1, 1.1, 1.2, 1.4} {
				e.Policies = append(e.Policies, hgmodel.NewPlacer(hgmodel.PlacerConfig{
					Name: fmt.Sprintf("w%.2f c%d l%.1f", window, charge, f), Window: window, Fetch: true, Rank: hgmodel.UnderWayFirst, Charge: time.Duration(charge) * time.Microsecond,
					Admit: func(_ *hgmodel.Turn, _, _ int, load float64) bool { return load < f },
				}))
			}
		}
	}
	hgmodel.Write(os.Stdout, hgmodel.Means(e.Play()))
}
