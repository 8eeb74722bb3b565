package hgmodel_test

import (
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/proof/hgmodel"
)

// TestPlacerBeatsBaselines guards against placer changes that lose its advantage: at a load that the engines can carry
// with good placement, the placer earns at least 0.1 more net worth than selection on each node and than the baselines.
func TestPlacerBeatsBaselines(t *testing.T) {
	names := []string{"roundRobin", "leastInFlight", "each", "eachFetching", "placer"}
	e := hgmodel.Experiment{
		Policies:  lo.Map(names, func(name string, _ int) func(*hgmodel.Run) hgmodel.Policy { return hgmodel.Policies[name] }),
		Workloads: []hgmodel.Workload{shorter(hgmodel.DerwentGrown(0.75))}, Seeds: 2,
	}
	means := hgmodel.Means(e.Run())
	best := means[len(means)-1]
	if best.Net < 0.8 {
		t.Errorf("placer: net worth %.3f, want 0.8", best.Net)
	}
	for _, m := range means[:len(means)-1] {
		if m.Net > best.Net-0.1 {
			t.Errorf("%s: net worth %.3f, the placer's is %.3f", m.Policy, m.Net, best.Net)
		}
	}
	var table strings.Builder
	if err := hgmodel.Write(&table, means); err != nil || strings.Count(table.String(), "\n") != len(names)+1 {
		t.Errorf("table: %v\n%s", err, table.String())
	}
}

func shorter(w hgmodel.Workload) hgmodel.Workload {
	w.Length = 14 * time.Second
	return w
}

// TestSameProgramsForAll guards against policies that influence the random draws of the workload: with the same seed all
// policies must get the same numbers of programs, or their results can't be compared.
func TestSameProgramsForAll(t *testing.T) {
	w := shorter(hgmodel.Derwent(0.5))
	var want map[string]int
	for name, policy := range hgmodel.Policies {
		got := lo.MapValues(hgmodel.Simulate(w, policy, 7).ByKind, func(s hgmodel.Share, _ string) int { return s.Programs })
		if want == nil {
			want = got
		}
		if got["chat"] != want["chat"] || got["thread"] != want["thread"] {
			t.Errorf("%s: programs %v, others had %v", name, got, want)
		}
	}
}
