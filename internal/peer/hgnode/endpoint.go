package hgnode

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgmember"
	"hyssopgrade/hgshard"
	"hyssopgrade/hgstore"
	"hyssopgrade/internal/operate/hgconfig"
)

// watchTimeout bounds one load report.
const watchTimeout = 400 * time.Millisecond

// Sources of the knowledge that an endpoint leaves, beside the peers' names.
const (
	sourceReports = "/reports"
	sourceList    = "/list"
)

// watchers is the number of nodes that read one endpoint's load report, or the VM list; the others hear of it by heartbeat.
const watchers = 2

// watchEndpoints reads the load reports of this node's share of the endpoints.
func (n *Node) watchEndpoints() {
	ctx, cancel := context.WithTimeout(n.ctx, watchTimeout)
	defer cancel()
	n.mu.Lock()
	mine := n.watched()
	n.mu.Unlock()
	var wg sync.WaitGroup
	var mu sync.Mutex
	draining := map[string]bool{}
	for _, id := range mine {
		wg.Go(func() {
			if s, err := n.endpoints[id].Status(ctx); err == nil && s.Draining {
				mu.Lock()
				defer mu.Unlock()
				draining[id] = true
			}
		})
	}
	wg.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.setLeaving(sourceReports, draining)
}

// watched returns the endpoints whose reports this node reads; the caller holds the lock.
func (n *Node) watched() []string {
	takers := n.view.Takers(n.draining, n.now())
	return lo.FilterMap(n.cfg.Endpoint, func(e hgconfig.Endpoint, _ int) (string, bool) {
		return e.ID, n.chosen(e.ID, takers)
	})
}

// chosen tells whether this node is one of the watchers that rendezvous hashing gives the key.
func (n *Node) chosen(key string, takers []hgmember.Member) bool {
	first := hgshard.Ranked(key, takers, watchers)
	return lo.ContainsBy(first, func(m hgmember.Member) bool { return m.ID == n.cfg.Node.ID })
}

// listKey is the key by which the nodes that read the VM list are chosen.
const listKey = "vms"

// readVMs learns which endpoints the platform lists as leaving, if this node is one that reads the list for the cell.
func (n *Node) readVMs(ctx context.Context) {
	n.mu.Lock()
	mine := n.chosen(listKey, n.view.Takers(n.draining, n.now()))
	if !mine {
		delete(n.leaving, sourceList)
	}
	n.mu.Unlock()
	if !mine {
		return
	}
	vms, err := n.store.VMs(ctx)
	if err != nil {
		return
	}
	leaving := lo.SliceToMap(vms, func(v hgstore.VM) (string, bool) { return v.Address, v.State == hgstore.VMLeaving })
	ids := lo.FilterMap(n.cfg.Endpoint, func(e hgconfig.Endpoint, _ int) (string, bool) { return e.ID, leaving[e.Address] })
	n.mu.Lock()
	defer n.mu.Unlock()
	n.setLeaving(sourceList, lo.SliceToMap(ids, func(id string) (string, bool) { return id, true }))
}

// dropSilentSources forgets what peers that are no longer heard said; the caller holds the lock.
func (n *Node) dropSilentSources() {
	for source := range n.leaving {
		if source != sourceReports && source != sourceList && !n.hears(source) {
			n.setLeaving(source, nil)
			delete(n.leaving, source)
		}
	}
}

// setLeaving replaces what one source says; an endpoint leaves while any source says so. The caller holds the lock.
func (n *Node) setLeaving(source string, ids map[string]bool) {
	n.leaving[source] = ids
	for _, e := range n.cfg.Endpoint {
		leaving := lo.SomeBy(lo.Values(n.leaving), func(ids map[string]bool) bool { return ids[e.ID] })
		if leaving == n.left[e.ID] {
			continue
		}
		n.left[e.ID] = leaving
		n.log.Info("endpoint leaving", "endpoint", e.ID, "leaving", leaving, "source", source)
		n.sched.SetLeaving(e.ID, leaving)
	}
}

// sweep releases engine memory that belongs to no live program.
func (n *Node) sweep() {
	ctx, cancel := context.WithTimeout(n.ctx, opTimeout)
	defer cancel()
	for _, e := range n.cfg.Endpoint {
		if e.Kind != hgconfig.Engine {
			continue
		}
		if err := n.owner.Sweep(ctx, e.ID); err != nil {
			n.log.Debug("engine memory not swept", "endpoint", e.ID, "err", err)
		}
	}
}
