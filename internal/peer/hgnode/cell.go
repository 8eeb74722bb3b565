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
	"hyssopgrade/internal/peer/hginner"
	"hyssopgrade/internal/state/hgjournal"
)

// opTimeout bounds a periodic operation on the platform.
const opTimeout = 3 * time.Second

// register refreshes the node's registration, which a draining node lets go.
func (n *Node) register() {
	n.mu.Lock()
	if n.draining {
		n.mu.Unlock()
		return
	}
	n.beat++
	m := n.self()
	m.Beat = n.beat
	n.mu.Unlock()
	data, err := hgmember.MemberCodec.Encode(m)
	if err != nil {
		n.log.Error("registration", "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, opTimeout)
	defer cancel()
	if _, err := n.store.Commit(ctx, hgstore.Txn{Puts: []hgstore.Put{{Key: hgmember.Prefix + m.ID, Value: data}}}); err != nil {
		n.log.Warn("registration failed", "err", err)
	}
}

// maxMembers bounds the registrations read at a time.
const maxMembers = 1000

// poll reads the preset, the registrations and the shard rows.
func (n *Node) poll() {
	ctx, cancel := context.WithTimeout(n.ctx, opTimeout)
	defer cancel()
	n.pollPreset(ctx)
	n.readVMs(ctx)
	rows, err := n.store.Scan(ctx, hgmember.Prefix, "", maxMembers)
	if err != nil {
		n.log.Warn("members not read", "err", err)
		return
	}
	members := lo.FilterMap(rows, func(r hgstore.Row, _ int) (hgmember.Member, bool) {
		m, err := hgmember.MemberCodec.Decode(r.Value)
		return m, err == nil
	})
	n.mu.Lock()
	n.view.Registered(members, n.now())
	n.dropSilentSources()
	sharing := len(n.view.Live(n.now())) + 1
	n.mu.Unlock()
	n.committer.SetRate(float64(n.cfg.Platform.CommitsPerSecond) / float64(sharing))
	if !n.rowsDue() {
		return
	}
	if err := n.readRows(ctx); err != nil {
		n.log.Warn("shard rows not read", "err", err)
	}
}

// rowsEvery is the number of polls after which the shard rows are read in any case.
const rowsEvery = 5

// rowsDue tells whether the shard rows are to be read: heartbeats tell who owns what while all members are heard.
func (n *Node) rowsDue() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.polls++
	now := n.now()
	settled := len(n.view.Silent(now)) == 0 && len(n.view.Takers(false, now)) == len(n.view.Peers())+1
	for s := range uint32(n.cfg.Node.Shards) {
		settled = settled && n.owners[s].id != ""
	}
	return !settled || n.polls%rowsEvery == 0
}

// readRows reads the shard rows and learns the owners.
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

// learnOwner keeps the owner with the highest epoch, and gives the shard up if that is newer than this node's;
// the caller holds the lock.
func (n *Node) learnOwner(shard uint32, id string, epoch uint64) {
	if shard >= uint32(n.cfg.Node.Shards) {
		return
	}
	n.owner.Superseded(shard, epoch)
	if epoch >= n.owners[shard].epoch {
		n.owners[shard] = shardOwner{id: id, epoch: epoch}
	}
}

// pollPreset reads the preset in force.
func (n *Node) pollPreset(ctx context.Context) {
	asked := n.now()
	n.mu.Lock()
	first := n.gate.Applied()
	n.mu.Unlock()
	v, _, err := hgpreset.Load(ctx, n.store, hgpreset.Version{Preset: first.Preset, By: first.By})
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.gate.StoreFailed()
		return
	}
	if n.gate.StoreRead(v, asked) {
		n.applyPreset(v)
	}
	n.gate.Members(lo.Map(n.view.Peers(), func(m hgmember.Member, _ int) string { return m.ID }))
}

// applyPreset changes the weights and limits; the caller holds the lock.
func (n *Node) applyPreset(v hgpreset.Version) {
	n.log.Info("preset applied", "preset", v.Preset.Name, "version", v.Number, "by", v.By)
	n.sched.SetPreset(v.Preset)
	n.owner.SetPreset(v.Preset)
}

// message returns the node's heartbeat to a peer; the caller holds the lock.
func (n *Node) message(to string) hginner.Beat {
	now := n.now()
	return hginner.Beat{
		Heartbeat: hgmember.Heartbeat{ID: n.cfg.Node.ID, Run: n.run, Draining: n.draining, Silent: n.view.Silent(now)},
		Preset:    hgpreset.Peer{Number: n.gate.Applied().Number, Age: n.gate.Age(now), StoreFailing: n.gate.StoreFailing()},
		Stamp:     now,
		Echo:      n.stamps[to].stamp,
		EchoRun:   n.stamps[to].run,
		Loads:     hginner.NewLoads(n.names, n.sched.InFlight(), n.held),
		Leaving:   lo.Keys(lo.Assign(n.leaving[sourceReports], n.leaving[sourceList])),
		Shards:    n.owner.Epochs(),
		Suspects:  n.owner.Suspects(),
	}
}

// stamped is the last stamp of a peer's run.
type stamped struct {
	run   string
	stamp time.Duration
}

// take learns from a peer's heartbeat and tells whether the peer applies a newer preset; the caller holds the lock.
func (n *Node) take(b hginner.Beat) (behind bool) {
	n.view.Heard(b.Heartbeat, n.now())
	n.stamps[b.ID] = stamped{run: b.Run, stamp: b.Stamp}
	for s, epoch := range b.Shards {
		n.learnOwner(s, b.ID, epoch)
	}
	n.setLeaving(b.ID, lo.SliceToMap(b.Leaving, func(id string) (string, bool) { return id, true }))
	if calls, held, ok := b.Loads.Maps(n.names); ok {
		n.sched.PeerLoads(b.ID, calls, held)
	}
	n.owner.Merge(b.Suspects)
	if b.EchoRun != n.run {
		return b.Preset.Number > n.gate.Applied().Number
	}
	return n.gate.PeerSaid(b.ID, b.Preset, b.Echo)
}

// beatAll exchanges heartbeats with the peers of greater names, each at most once at a time; the others ask this node.
func (n *Node) beatAll() {
	held := n.owner.Demand()
	n.sched.SetHeld(held)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held = held
	for _, m := range n.view.Peers() {
		if n.beating[m.ID] || m.ID < n.cfg.Node.ID {
			continue
		}
		n.beating[m.ID] = true
		b := n.message(m.ID)
		n.background(func() {
			n.beatOne(m, b)
			n.mu.Lock()
			defer n.mu.Unlock()
			n.beating[m.ID] = false
		})
	}
}

// announce exchanges heartbeats with all live peers at once and waits for their answers.
func (n *Node) announce() {
	var wg sync.WaitGroup
	n.mu.Lock()
	for _, m := range n.view.Live(n.now()) {
		b := n.message(m.ID)
		wg.Go(func() { n.beatOne(m, b) })
	}
	n.mu.Unlock()
	wg.Wait()
}

func (n *Node) beatOne(m hgmember.Member, b hginner.Beat) {
	reply, err := n.client.Beat(m.Inner, b)
	n.mu.Lock()
	behind := false
	if err == nil && reply.ID == m.ID {
		behind = n.take(reply)
	}
	n.mu.Unlock()
	if err != nil {
		n.log.Debug("heartbeat failed", "peer", m.ID, "err", err)
	}
	if behind {
		n.fetchPreset(m.Inner)
	}
}

// fetchPreset takes a newer preset from a peer.
func (n *Node) fetchPreset(address string) {
	asked := n.now()
	reply, err := n.client.Preset(address)
	if err != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.gate.Adopt(reply.Version, asked-reply.Age) {
		n.applyPreset(reply.Version)
	}
}

// plan takes and releases shards. A call while another one plans makes that one plan again.
func (n *Node) plan() {
	n.planAgain.Store(true)
	for n.planAgain.Load() && n.planMu.TryLock() {
		n.planAgain.Store(false)
		n.planOnce()
		n.planMu.Unlock()
	}
}

func (n *Node) planOnce() {
	ctx, cancel := context.WithTimeout(n.ctx, planTimeout)
	defer cancel()
	if len(n.planned().Claim) > 0 {
		if err := n.readRows(ctx); err != nil {
			return
		}
		if claim := n.planned().Claim; len(claim) > 0 {
			if err := n.owner.Take(ctx, claim); err != nil {
				n.log.Warn("shards not taken", "err", err)
			}
			n.background(n.announce)
		}
	}
	n.release(ctx, n.planned().Release, true)
}

// planTimeout bounds the taking of shards.
const planTimeout = 20 * time.Second

func (n *Node) planned() hgshard.Plan {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.planner.Plan(n.rows, n.view, n.owner.Held, n.draining, n.now())
}

// release gives shards up and tells the live peers.
func (n *Node) release(ctx context.Context, shards []uint32, idle bool) {
	released, err := n.owner.Release(ctx, shards, idle)
	if err != nil {
		n.log.Warn("shards not released", "shards", len(shards), "err", err)
	}
	if len(released) > 0 {
		n.nudgeAll()
	}
}

// nudgeAll tells the live peers that shard rows have changed.
func (n *Node) nudgeAll() {
	n.mu.Lock()
	live := n.view.Live(n.now())
	n.mu.Unlock()
	for _, m := range live {
		n.background(func() { _ = n.client.Nudge(m.Inner) })
	}
}

// collect deletes batch rows that nothing refers to, on the node that is preferred for it.
func (n *Node) collect() {
	n.mu.Lock()
	takers := n.view.Takers(n.draining, n.now())
	n.mu.Unlock()
	first := lo.MinBy(takers, func(a, b hgmember.Member) bool { return a.ID < b.ID })
	if first.ID != n.cfg.Node.ID {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, opTimeout)
	defer cancel()
	if _, err := hgjournal.CollectGarbage(ctx, n.store, uint32(n.cfg.Node.Shards), collectRows); err != nil {
		n.log.Warn("batch rows not collected", "err", err)
	}
}

// collectRows is the number of batch rows looked at in one collection.
const collectRows = 2000

// removeRegistration deletes the node's registration.
func (n *Node) removeRegistration(ctx context.Context) (err error) {
	_, err = n.store.Commit(ctx, hgstore.Txn{Deletes: []string{hgmember.Prefix + n.cfg.Node.ID}})
	return err
}
