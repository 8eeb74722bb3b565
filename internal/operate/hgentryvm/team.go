package hgentryvm

import (
	"fmt"
	"io"
	"strings"

	"github.com/samber/lo"

	"hyssopgrade/internal/operate/hgstatus"
	"hyssopgrade/internal/serve/hgentry"
)

// maxTeams is the number of teams that reports name one by one. It bounds the cardinality of metrics.
const maxTeams = 20

// teams returns the use of the largest teams, and then the sum of all others.
func (n *Node) teams() (teams []hgstatus.Team) {
	top, rest, others := n.entry.TeamUses(maxTeams)
	running := rest.Running + lo.SumBy(top, func(u hgentry.TeamUse) int { return u.Running })
	report := func(u hgentry.TeamUse) hgstatus.Team {
		return hgstatus.Team{
			Name: u.Name, Served: u.Served, RefusedByCap: u.RefusedByCap, Waiting: u.Waiting, Share: float64(u.Running) / float64(max(running, 1)),
		}
	}
	teams = lo.Map(top, func(u hgentry.TeamUse, _ int) hgstatus.Team { return report(u) })
	if others > 0 {
		sum := report(rest)
		sum.Others = others
		teams = append(teams, sum)
	}
	return teams
}

// labelEscaper escapes the value of a label in the Prometheus text format.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// writeTeamMetrics writes the use of teams in the Prometheus text format. The sum of the smaller teams has metrics of its own, as a team
// may have any name; it falls when one of them grows into the ones that are named.
func writeTeamMetrics(w io.Writer, teams []hgstatus.Team) (err error) {
	for _, t := range teams {
		prefix, label := "team", fmt.Sprintf(`{team="%s"}`, labelEscaper.Replace(t.Name))
		if t.Others > 0 {
			prefix, label = "other_teams", ""
		}
		_, err := fmt.Fprintf(w, "hyssopgrade_%[1]s_served%[2]s %[3]d\nhyssopgrade_%[1]s_refused_by_cap%[2]s %[4]d\nhyssopgrade_%[1]s_waiting%[2]s %[5]d\nhyssopgrade_%[1]s_share%[2]s %[6]g\n",
			prefix, label, t.Served, t.RefusedByCap, t.Waiting, t.Share)
		if err != nil {
			return err
		}
	}
	return nil
}
