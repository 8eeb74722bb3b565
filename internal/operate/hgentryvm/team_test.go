package hgentryvm

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/operate/hgstatus"
)

// Guards against a name of a team that ends its label, and against a team that is taken for the sum of the others.
func TestTeamMetrics(t *testing.T) {
	var text strings.Builder
	if err := writeTeamMetrics(&text, []hgstatus.Team{{Name: `a"\`, Served: 3, RefusedByCap: 1, Waiting: 2, Share: 0.25}, {Others: 7, Served: 5}}); err != nil {
		t.Fatal(err)
	}
	want := `hyssopgrade_team_served{team="a\"\\"} 3
hyssopgrade_team_refused_by_cap{team="a\"\\"} 1
hyssopgrade_team_waiting{team="a\"\\"} 2
hyssopgrade_team_share{team="a\"\\"} 0.25
hyssopgrade_other_teams_served 5
hyssopgrade_other_teams_refused_by_cap 0
hyssopgrade_other_teams_waiting 0
hyssopgrade_other_teams_share 0
`
	if diff := cmp.Diff(want, text.String()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
