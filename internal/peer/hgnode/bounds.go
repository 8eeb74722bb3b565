package hgnode

import (
	"net/http"

	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/serve/hgmemory"
	"hyssopgrade/internal/serve/hgserver"
)

const (
	// bodyShare is the share of limits.memoryMb for the bodies of requests, and headShare that for unfinished heads.
	bodyShare, headShare = 0.15, 0.05
	// bodyCopies is the memory for a body of the largest legal size, in its sizes, that is always there: the blocks that it is read into,
	// the whole body, and a part that is kept for small ones.
	bodyCopies = 3
	// publicPart and innerPart are the divisors of limits.maxDescriptors for the connections of a port. Each call of a caller may hold
	// one more connection to an endpoint.
	publicPart, innerPart = 8.0 / 3, 8.0
)

// newBodies returns the memory for the bodies of requests; nil if the settings limit no memory.
func newBodies(l hgconfig.Limits, timer *hgtimer.Service) *hgmemory.Bodies {
	if l.MemoryMB == 0 {
		return nil
	}
	return hgmemory.NewBodies(max(int(float64(l.MemoryMB)*(1<<20)*bodyShare), bodyCopies*l.MaxBodyBytes), timer)
}

// newServer returns a server whose connections are a part of the descriptors that the settings allow.
func (n *Node) newServer(cfg *http.Server, part float64) *hgserver.Server {
	l := n.cfg.Limits
	return hgserver.NewServer(cfg, n.log, hgserver.WithMaxConns(int(float64(l.MaxDescriptors)/part)),
		hgserver.WithMaxHeadBytes(int(float64(l.MemoryMB)*(1<<20)*headShare)),
		hgserver.WithRefused(n.metrics.ConnClosed))
}
