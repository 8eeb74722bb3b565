package hgentry

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/serve/hgteam"
)

// Guards against reports that grow with the teams or lose the use of those that are not named.
func TestTeamUses(t *testing.T) {
	e := &Entry{}
	for i := range maxTeamUses + 3 {
		x := &exchange{entry: e, team: hgteam.Team{Name: fmt.Sprintf("t%05d", i)}, sent: 1}
		for range 1 + i%3 {
			x.countTeam(200)
		}
	}
	refused := &exchange{entry: e, team: hgteam.Team{Name: "t00002"}}
	refused.countTeam(429)
	refused.countTeam(401)
	(&exchange{entry: e, sent: 1}).countTeam(200)
	e.uses.wait("t00005")
	e.uses.run("t00005")()
	total := uint64(0)
	for i := range maxTeamUses + 3 {
		total += uint64(1 + i%3)
	}
	top, rest, others := e.TeamUses(2)
	want := []TeamUse{{Name: "t00002", Served: 3, RefusedByCap: 1}, {Name: "t00005", Served: 3, Waiting: 1}}
	if diff := cmp.Diff(want, top); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if rest.Served != total-6 || others != maxTeamUses-2+1 || len(e.uses.byName) != maxTeamUses+1 {
		t.Errorf("rest %+v of %d, want %d served; %d counted", rest, others, total-6, len(e.uses.byName))
	}
}
