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
	// innerShare is the share of limits.memoryMb for the requests of that port.
	innerShare = 0.1
)

// newRequests returns the memory for the requests of callers; nil if the settings limit no memory.
func newRequests(l hgconfig.Limits, timer *hgtimer.Service) *hgmemory.Account {
	switch {
	case l.RequestMemoryMB > 0:
		return hgmemory.NewAccount(l.RequestMemoryMB<<20, timer)
	case l.MemoryMB > 0:
		return hgmemory.NewAccount(max(memoryPart(l, hgmemory.RequestShare), bodyCopies*l.MaxBodyBytes), timer)
	}
	return nil
}

// newInnerRequests is newRequests for the port for other nodes.
func newInnerRequests(l hgconfig.Limits, timer *hgtimer.Service) *hgmemory.Account {
	if l.MemoryMB == 0 {
		return nil
	}
	return hgmemory.NewAccount(memoryPart(l, innerShare), timer)
}

// memoryPart returns the bytes of a share of the memory that the settings allow.
func memoryPart(l hgconfig.Limits, share float64) int {
	return int(float64(l.MemoryMB) * (1 << 20) * share)
}

// newServer returns a server whose connections are a part of the descriptors that the settings allow, and whose requests share an account.
func (n *Node) newServer(cfg *http.Server, part float64, a *hgmemory.Account) *hgserver.Server {
	conns := hgserver.Conns(float64(n.cfg.Limits.MaxDescriptors), part)
	return hgserver.NewServer(cfg, n.log, hgserver.WithMaxConns(conns), hgserver.WithAccount(a), hgserver.WithRefused(n.metrics.ConnClosed))
}
