package hgnode

import (
	"net/http"

	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/serve/hgmemory"
	"hyssopgrade/internal/serve/hgserver"
)

const (
	// bodyCopies is the memory for a body of the largest legal size, in its sizes, that is always there: the blocks that it is read into,
	// the whole body, and a part that is kept for small ones.
	bodyCopies = 3
	// innerPart is the part of limits.maxDescriptors, one in innerPart, for the connections of the port for other nodes.
	innerPart = 8.0
)

// newBodies returns the memory for the bodies of requests; nil if the settings limit no memory.
func newBodies(l hgconfig.Limits, timer *hgtimer.Service) *hgmemory.Bodies {
	if l.MemoryMB == 0 {
		return nil
	}
	return hgmemory.NewBodies(max(int(float64(l.MemoryMB)*(1<<20)*hgmemory.BodyShare), bodyCopies*l.MaxBodyBytes), timer)
}

// newServer returns a server whose connections are a part of the descriptors that the settings allow.
func (n *Node) newServer(cfg *http.Server, part float64) *hgserver.Server {
	l := n.cfg.Limits
	m := hgserver.Machine{MemoryMB: float64(l.MemoryMB), Descriptors: float64(l.MaxDescriptors)}
	return hgserver.NewServer(cfg, n.log, hgserver.WithMachine(m, part), hgserver.WithRefused(n.metrics.ConnClosed))
}
