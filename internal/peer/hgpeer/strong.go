package hgpeer

import "github.com/samber/lo"

const (
	// strongShare is the least share of the largest node's processor capacity that makes a node strong.
	strongShare = 0.5
	// minStrong is the number of strong nodes below which all nodes share the work, so that the loss of one node does not
	// affect most requests.
	minStrong = 4
)

// ServingNodes returns the nodes that serve callers and programs. On sites with VMs of different sizes these are the ones with
// large processors: a request takes several times as long on a small VM, and every further node would keep connections to all
// others. It returns all nodes if fewer than minStrong are left.
func ServingNodes(nodes []Info) []Info {
	most := lo.Max(lo.Map(nodes, func(i Info, _ int) float64 { return i.Power }))
	strong := lo.Filter(nodes, func(i Info, _ int) bool { return i.Power >= strongShare*most })
	if len(strong) < minStrong {
		return nodes
	}
	return strong
}
