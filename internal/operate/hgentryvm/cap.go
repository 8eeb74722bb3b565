package hgentryvm

import (
	"time"

	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/serve/hgcap"
	"hyssopgrade/internal/serve/hgentry"
	"hyssopgrade/internal/serve/hgteam"
)

// capPeriod is the time between two looks at who owns which team. It is short beside the silence after which a peer is not live, 0.9 s.
const capPeriod = 100 * time.Millisecond

// capOptions sets up the enforcement of usage caps if the settings ask for it, and returns the option for the entry.
func (n *Node) capOptions(boot string) []hgentry.Option {
	t := n.cfg.Teams
	if t.CapWindowSeconds <= 0 {
		return nil
	}
	b := hgcap.Bounds{Window: hgconfig.Seconds(t.CapWindowSeconds), Overage: t.CapOverage, Slack: t.CapSlack}
	first := n.cfg.VM.FirstStart
	owner := hgcap.NewOwner(n.timer, b, boot, first, n.logOver)
	n.caps = hgpeer.NewCaps(owner, hgcap.NewLeases(n.timer, b), n.members, n.client, n.metrics, first, n.capOf)
	return []hgentry.Option{hgentry.WithCaps(n.caps)}
}

// capOf returns the usage cap of a team in the current desired state.
func (n *Node) capOf(team string) (c hgteam.Cap, ok bool) {
	d := n.entry.Desired()
	if d == nil || d.Teams == nil {
		return c, false
	}
	found, ok := d.Teams.ByName(team)
	return found.Cap, ok
}

// logOver logs that a team which this node owns begins or ends to exceed its cap.
func (n *Node) logOver(o hgcap.Over) {
	if o.Begins {
		n.log.Info("team is over its usage cap", "team", o.Team)
		return
	}
	n.log.Info("team is within its usage cap again", "team", o.Team, "refused", o.Refused)
}
