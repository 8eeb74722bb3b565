package hgnode

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgmember"
	"hyssopgrade/hgpreset"
	"hyssopgrade/hgshard"
	"hyssopgrade/hgstore"
	"hyssopgrade/internal/peer/hgnoderpc"
	"hyssopgrade/internal/state/hgjournal"
)

// platformTimeout is the timeout of one periodic task's operations on the platform.
const platformTimeout = 3 * time.Second

// register writes the node's registration, with a raised counter by which the others see that it is refreshed.
// A draining node no longer refreshes its registration.
func (n *Node) register() {
	n.mu.Lock()
	if n.draining {
		n.mu.Unlock()
		return
	}
	n.refreshes++
	m := n.self()
	m.Beat = n.refreshes
	n.mu.Unlock()
	data, err := hgmember.MemberCodec.Encode(m)
	if err != nil {
		n.log.Error("registration not encoded", "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, platformTimeout)
	defer cancel()
	if _, err := n.store.Commit(ctx, hgstore.Txn{Puts: []hgstore.Put{{Key: hgmember.Prefix + m.ID, Value: data}}}); err != nil {
		n.log.Warn("registration not written", "err", err)
	}
}

// maxMembers is the largest number of registrations that a node reads.
const maxMembers = 1000

// poll reads the preset, the VM list, the registrations and, if needed, the shard rows. It divides the cell's limit on
// commits per second by the number of live nodes.
func (n *Node) poll() {
	ctx, cancel := context.WithTimeout(n.ctx, platformTimeout)
	defer cancel()
	n.pollPreset(ctx)
	n.readVMList(ctx)
	rows, err := n.store.Scan(ctx, hgmember.Prefix, "", maxMembers)
	if err != nil {
		n.log.Warn("registrations not read", "err", err)
		return
	}
	members := lo.FilterMap(rows, func(r hgstore.Row, _ int) (hgmember.Member, bool) {
		m, err := hgmember.MemberCodec.Decode(r.Value)
		return m, err == nil
	})
	n.mu.Lock()
	n.view.SetRegistered(members, n.now())
	n.dropSilentSources()
	liveNodes := len(n.view.Live(n.now())) + 1
	n.mu.Unlock()
	n.committer.SetRate(float64(n.cfg.Platform.CommitsPerSecond) / float64(liveNodes))
	if !n.shouldReadRows() {
		return
	}
	if err := n.readRows(ctx); err != nil {
		n.log.Warn("shard rows not read", "err", err)
	}
}

// pollsPerRowsRead is the number of polls after which the shard rows are read even if heartbeats tell all owners.
const pollsPerRowsRead = 5

// shouldReadRows reports whether this poll must read the shard rows. Most polls need not: while all members are live, none
// is draining and every shard has an owner, heartbeats tell who owns which shard.
func (n *Node) shouldReadRows() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.polls++
	now := n.now()
	settled := len(n.view.Silent(now)) == 0 && len(n.view.EligibleOwners(false, now)) == len(n.view.Peers())+1
	for s := range uint32(n.cfg.Node.Shards) {
		settled = settled && n.owners[s].id != ""
	}
	return !settled || n.polls%pollsPerRowsRead == 0
}

// readRows reads the shard rows, keeps them for the planner and updates the owners.
func (n *Node) readRows(ctx context.Context) (err error) {
	rows, err := hgjournal.ReadRows(ctx, n.store, uint32(n.cfg.Node.Shards))
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rows = rows
	for _, r := range rows {
		n.learnOwner(r.Shard, r.Row.Owner, r.Row.Epoch)
	}
	return nil
}

// learnOwner records a shard's owner unless an owner with a higher epoch is known, and stops serving the shard here if
// the epoch is newer than that under which this node serves it. n.mu must be held.
func (n *Node) learnOwner(shard uint32, id string, epoch uint64) {
	if shard >= uint32(n.cfg.Node.Shards) {
		return
	}
	n.owner.Superseded(shard, epoch)
	if epoch >= n.owners[shard].epoch {
		n.owners[shard] = shardOwner{id: id, epoch: epoch}
	}
}

// pollPreset reads the preset in force from the store and applies it if it is newer.
func (n *Node) pollPreset(ctx context.Context) {
	readAt := n.now()
	n.mu.Lock()
	initial := n.gate.Applied()
	n.mu.Unlock()
	v, _, err := hgpreset.Load(ctx, n.store, hgpreset.Version{Preset: initial.Preset, By: initial.By})
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.gate.RecordReadFailure()
		return
	}
	if n.gate.RecordRead(v, readAt) {
		n.applyPreset(v)
	}
	n.gate.SetMembers(lo.Map(n.view.Peers(), func(m hgmember.Member, _ int) string { return m.ID }))
}

// applyPreset passes the weights and limits of a preset to the scheduler and the shards' owner. n.mu must be held.
func (n *Node) applyPreset(v hgpreset.Version) {
	n.log.Info("preset applied", "preset", v.Preset.Name, "version", v.Number, "by", v.By)
	n.sched.SetPreset(v.Preset)
	n.owner.SetPreset(v.Preset)
}

// heartbeat returns the heartbeat for a peer. n.mu must be held.
func (n *Node) heartbeat(to string) hgnoderpc.Beat {
	now := n.now()
	return hgnoderpc.Beat{
		Heartbeat: hgmember.Heartbeat{ID: n.cfg.Node.ID, Run: n.run, Draining: n.draining, Silent: n.view.Silent(now)},
		Preset:    hgpreset.PeerStatus{Number: n.gate.Applied().Number, Age: n.gate.Age(now), StoreFailing: n.gate.StoreFailing()},
		Stamp:     now,
		Echo:      n.peerStamps[to].stamp,
		EchoRun:   n.peerStamps[to].run,
		Loads:     hgnoderpc.NewLoads(n.endpointIDs, n.sched.InFlight(), n.heldTokens),
		Leaving:   lo.Keys(lo.Assign(n.leavingBySource[sourceReports], n.leavingBySource[sourceList])),
		Shards:    n.owner.Epochs(),
		Suspects:  n.owner.Suspects(),
	}
}

// peerStamp is the last hgnoderpc.Beat.Stamp of a peer, with the run that sent it.
type peerStamp struct {
	run   string
	stamp time.Duration
}

// applyHeartbeat processes a peer's heartbeat and reports whether the peer applies a newer preset. n.mu must be held.
func (n *Node) applyHeartbeat(b hgnoderpc.Beat) (behind bool) {
	n.view.RecordHeartbeat(b.Heartbeat, n.now())
	n.peerStamps[b.ID] = peerStamp{run: b.Run, stamp: b.Stamp}
	for s, epoch := range b.Shards {
		n.learnOwner(s, b.ID, epoch)
	}
	n.setLeaving(b.ID, lo.SliceToMap(b.Leaving, func(id string) (string, bool) { return id, true }))
	if calls, held, ok := b.Loads.Maps(n.endpointIDs); ok {
		n.sched.SetPeerLoads(b.ID, calls, held)
	}
	n.owner.MergeSuspects(b.Suspects)
	if b.EchoRun != n.run {
		return b.Preset.Number > n.gate.Applied().Number
	}
	return n.gate.RecordPeer(b.ID, b.Preset, b.Echo)
}

// exchangeHeartbeats starts one exchange with each peer whose name sorts after this node's and that has none in flight; the
// other peers start theirs with this node. It also updates the tokens that this node's programs hold.
func (n *Node) exchangeHeartbeats() {
	held := n.owner.Demand()
	n.sched.SetHeld(held)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heldTokens = held
	for _, m := range n.view.Peers() {
		if n.heartbeatInFlight[m.ID] || m.ID < n.cfg.Node.ID {
			continue
		}
		n.heartbeatInFlight[m.ID] = true
		b := n.heartbeat(m.ID)
		n.background(func() {
			n.exchangeHeartbeatWith(m, b)
			n.mu.Lock()
			defer n.mu.Unlock()
			n.heartbeatInFlight[m.ID] = false
		})
	}
}

// announce exchanges heartbeats with all live peers at once, without waiting for the next period, and waits for the replies.
func (n *Node) announce() {
	var wg sync.WaitGroup
	n.mu.Lock()
	for _, m := range n.view.Live(n.now()) {
		b := n.heartbeat(m.ID)
		wg.Go(func() { n.exchangeHeartbeatWith(m, b) })
	}
	n.mu.Unlock()
	wg.Wait()
}

// exchangeHeartbeatWith sends a heartbeat to a peer and processes the reply. It fetches the preset if the peer's is newer.
func (n *Node) exchangeHeartbeatWith(m hgmember.Member, b hgnoderpc.Beat) {
	reply, err := n.client.Beat(m.Inner, b)
	n.mu.Lock()
	behind := false
	if err == nil && reply.ID == m.ID {
		behind = n.applyHeartbeat(reply)
	}
	n.mu.Unlock()
	if err != nil {
		n.log.Debug("heartbeat failed", "peer", m.ID, "err", err)
	}
	if behind {
		n.fetchPreset(m.Inner)
	}
}

// fetchPreset reads the preset that a peer applies and applies it if it is newer.
func (n *Node) fetchPreset(address string) {
	readAt := n.now()
	reply, err := n.client.Preset(address)
	if err != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.gate.Adopt(reply.Version, readAt-reply.Age) {
		n.applyPreset(reply.Version)
	}
}

// plan claims and releases shards. If another goroutine is planning, that goroutine plans once more instead.
func (n *Node) plan() {
	n.planAgain.Store(true)
	for n.planAgain.Load() && n.planMu.TryLock() {
		n.planAgain.Store(false)
		n.planOnce()
		n.planMu.Unlock()
	}
}

// planOnce claims the shards that this node should own, after another look at their rows, and releases idle ones that it
// should not own.
func (n *Node) planOnce() {
	ctx, cancel := context.WithTimeout(n.ctx, planTimeout)
	defer cancel()
	if len(n.currentPlan().Claim) > 0 {
		if err := n.readRows(ctx); err != nil {
			return
		}
		if claim := n.currentPlan().Claim; len(claim) > 0 {
			if err := n.owner.Take(ctx, claim); err != nil {
				n.log.Warn("shards not claimed", "err", err)
			}
			n.background(n.announce)
		}
	}
	n.release(ctx, n.currentPlan().Release, true)
}

// planTimeout is the timeout of claiming, recovering and releasing shards in one plan.
const planTimeout = 20 * time.Second

func (n *Node) currentPlan() hgshard.Plan {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.planner.Plan(n.rows, n.view, n.owner.Held, n.draining, n.now())
}

// release releases shards and notifies the live peers. With idle, it leaves out shards that run calls.
func (n *Node) release(ctx context.Context, shards []uint32, idle bool) {
	released, err := n.owner.Release(ctx, shards, idle)
	if err != nil {
		n.log.Warn("shards not released", "shards", len(shards), "err", err)
	}
	if len(released) > 0 {
		n.notifyRowsChanged()
	}
}

// notifyRowsChanged makes the live peers read the shard rows, without waiting for the replies.
func (n *Node) notifyRowsChanged() {
	n.mu.Lock()
	live := n.view.Live(n.now())
	n.mu.Unlock()
	for _, m := range live {
		n.background(func() { _ = n.client.Nudge(m.Inner) })
	}
}

// collectGarbage deletes batch rows that no shard row refers to. Only one node of the cell does so: the first by name of
// those that may own shards.
func (n *Node) collectGarbage() {
	n.mu.Lock()
	takers := n.view.EligibleOwners(n.draining, n.now())
	n.mu.Unlock()
	first := lo.MinBy(takers, func(a, b hgmember.Member) bool { return a.ID < b.ID })
	if first.ID != n.cfg.Node.ID {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, platformTimeout)
	defer cancel()
	if _, err := hgjournal.CollectGarbage(ctx, n.store, uint32(n.cfg.Node.Shards), collectScanRows); err != nil {
		n.log.Warn("unreferenced batch rows not deleted", "err", err)
	}
}

// collectScanRows is the number of batch rows that one run of collectGarbage looks at.
const collectScanRows = 2000

// removeRegistration deletes the node's registration row.
func (n *Node) removeRegistration(ctx context.Context) (err error) {
	_, err = n.store.Commit(ctx, hgstore.Txn{Deletes: []string{hgmember.Prefix + n.cfg.Node.ID}})
	return err
}
