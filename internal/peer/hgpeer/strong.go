package hgpeer

import "github.com/samber/lo"

const (
	// strongShare is the part of the strongest node's processor from which a node counts as strong.
	strongShare = 0.5
	// minStrong is the number of strong nodes below which all nodes share the work, so that the loss of one does not
	// concern most requests.
	minStrong = 4
)

// Strong returns the nodes that serve callers and programs: on sites with VMs of unlike size the strong ones, as a
// request takes several times as long on a small VM and each of them would keep connections to all others.
func Strong(nodes []Info) []Info {
	most := lo.Max(lo.Map(nodes, func(i Info, _ int) float64 { return i.Power }))
	strong := lo.Filter(nodes, func(i Info, _ int) bool { return i.Power >= strongShare*most })
	if len(strong) < minStrong {
		return nodes
	}
	return strong
}
