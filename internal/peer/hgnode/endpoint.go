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

// loadReportTimeout is the timeout of reading the load reports of all watched endpoints.
const loadReportTimeout = 400 * time.Millisecond

// Keys of Node.leavingBySource for what this node itself has read; the other keys are names of peers.
const (
	sourceReports = "/reports"
	sourceList    = "/list"
)

// watchersPerKey is the number of nodes that read one endpoint's load report, or the VM list. The other nodes learn the
// result from their heartbeats.
const watchersPerKey = 2

// watchEndpoints reads the load reports of the endpoints that this node watches and records which are draining.
func (n *Node) watchEndpoints() {
	ctx, cancel := context.WithTimeout(n.ctx, loadReportTimeout)
	defer cancel()
	n.mu.Lock()
	mine := n.watchedEndpoints()
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

// watchedEndpoints returns the endpoints whose load reports this node reads. n.mu must be held.
func (n *Node) watchedEndpoints() []string {
	takers := n.view.EligibleOwners(n.draining, n.now())
	return lo.FilterMap(n.cfg.Endpoint, func(e hgconfig.Endpoint, _ int) (string, bool) {
		return e.ID, n.isWatcher(e.ID, takers)
	})
}

// isWatcher reports whether rendezvous hashing over the takers, the nodes that may own shards, makes this node a watcher of
// the key.
func (n *Node) isWatcher(key string, takers []hgmember.Member) bool {
	first := hgshard.Ranked(key, takers, watchersPerKey)
	return lo.ContainsBy(first, func(m hgmember.Member) bool { return m.ID == n.cfg.Node.ID })
}

// vmListKey is the key whose watchers read the VM list.
const vmListKey = "vms"

// readVMList reads the VM list and records which endpoints the platform lists as leaving. A node that is no watcher of the
// list drops its earlier result instead.
func (n *Node) readVMList(ctx context.Context) {
	n.mu.Lock()
	mine := n.isWatcher(vmListKey, n.view.EligibleOwners(n.draining, n.now()))
	if !mine {
		delete(n.leavingBySource, sourceList)
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

// dropSilentSources discards what peers reported that are no longer live. n.mu must be held.
func (n *Node) dropSilentSources() {
	for source := range n.leavingBySource {
		if source != sourceReports && source != sourceList && !n.isLive(source) {
			n.setLeaving(source, nil)
			delete(n.leavingBySource, source)
		}
	}
}

// setLeaving replaces the endpoints that one source reports as leaving; an endpoint is leaving while any source reports it.
// n.mu must be held.
func (n *Node) setLeaving(source string, ids map[string]bool) {
	n.leavingBySource[source] = ids
	for _, e := range n.cfg.Endpoint {
		leaving := lo.SomeBy(lo.Values(n.leavingBySource), func(ids map[string]bool) bool { return ids[e.ID] })
		if leaving == n.leavingEndpoints[e.ID] {
			continue
		}
		n.leavingEndpoints[e.ID] = leaving
		n.log.Info("endpoint's leaving state changed", "endpoint", e.ID, "leaving", leaving, "source", source)
		n.sched.SetLeaving(e.ID, leaving)
	}
}

// sweep releases memory on the engines that belongs to no live program.
func (n *Node) sweep() {
	ctx, cancel := context.WithTimeout(n.ctx, platformTimeout)
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
