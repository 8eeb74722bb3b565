package hgpeer_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/samber/lo"

	"hyssopgrade/internal/peer/hgpeer"
)

func TestStrong(t *testing.T) {
	nodes := func(powers ...float64) []hgpeer.Info {
		return lo.Map(powers, func(p float64, i int) hgpeer.Info { return hgpeer.Info{Name: string(rune('a' + i)), Power: p} })
	}
	tests := map[string]struct {
		nodes []hgpeer.Info
		want  []string
	}{
		"none":                          {nil, []string{}},
		"all alike":                     {nodes(0.4, 0.4, 0.4), []string{"a", "b", "c"}},
		"small ones are left out":       {nodes(0.8, 0.2, 0.8, 0.2, 0.8, 0.6), []string{"a", "c", "e", "f"}},
		"all serve with too few strong": {nodes(0.8, 0.2, 0.8, 0.2), []string{"a", "b", "c", "d"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, names(hgpeer.ServingNodes(tt.nodes))); diff != "" {
				t.Errorf("strong nodes (-want +got):\n%s", diff)
			}
		})
	}
}
