package hgnode

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgmember"
	"hyssopgrade/hgpreset"
	"hyssopgrade/hgshard"
	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/serve/hgfront"
)

// Locate returns the public addresses to use for a program, best first: its owner, the nodes of this node's failure domain,
// then the other nodes. Draining nodes are left out.
func (n *Node) Locate(program string) hgfront.Location {
	n.mu.Lock()
	defer n.mu.Unlock()
	members := n.view.EligibleOwners(n.draining, n.now())
	owner := ""
	if program != "" {
		owner = n.owners[hgshard.Of(program, uint32(n.cfg.Node.Shards))].id
	}
	rank := func(m hgmember.Member) int {
		switch {
		case m.ID == owner:
			return 0
		case m.Domain == n.cfg.Node.Domain:
			return 1
		}
		return 2
	}
	sort.SliceStable(members, func(i, j int) bool { return rank(members[i]) < rank(members[j]) })
	return hgfront.Location{
		Addresses: lo.Map(members, func(m hgmember.Member, _ int) string { return m.Public }),
		TTLMs:     int64(n.cfg.Limits.LocateTTLMs),
	}
}

// members returns the status of this node and of all registered peers. n.mu must be held.
func (n *Node) members() []hgfront.MemberStatus {
	now := n.now()
	live := lo.SliceToMap(n.view.Live(now), func(m hgmember.Member) (string, bool) { return m.ID, true })
	takers := lo.SliceToMap(n.view.EligibleOwners(n.draining, now), func(m hgmember.Member) (string, bool) { return m.ID, true })
	list := []hgfront.MemberStatus{{
		ID: n.cfg.Node.ID, Domain: n.cfg.Node.Domain, Public: n.cfg.Node.Public, Live: true, Draining: n.draining,
		PresetVersion: n.gate.Applied().Number,
	}}
	for _, m := range n.view.Peers() {
		list = append(list, hgfront.MemberStatus{
			ID: m.ID, Domain: m.Domain, Public: m.Public, Live: live[m.ID], Draining: live[m.ID] && !takers[m.ID],
			PresetVersion: n.gate.PeerVersion(m.ID),
		})
	}
	return list
}

// Overview returns the status of the node, its shards and endpoints, and the cell's members.
func (n *Node) Overview() hgfront.Overview {
	n.mu.Lock()
	defer n.mu.Unlock()
	return hgfront.Overview{
		Node: n.cfg.Node.ID, Run: n.run, Draining: n.draining, StoreFailed: n.committer.FailingFor(),
		Running: n.owner.Running(), Waiting: n.sched.Waiting(), Members: n.members(),
		Shards:    lo.MapValues(n.owners, func(o shardOwner, _ uint32) string { return o.id }),
		Endpoints: n.sched.Loads(), Quarantine: n.owner.Suspects(), Programs: n.owner.Programs(),
	}
}

// Presets returns the presets' names and which preset is in force. While the store is out of reach, the names are those of
// the shipped presets only.
func (n *Node) Presets(ctx context.Context) hgfront.PresetStatus {
	defined, err := hgpreset.Defined(ctx, n.store)
	if err != nil {
		n.log.Warn("operators' presets not read", "err", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return hgfront.PresetStatus{
		Names: hgpreset.Names(defined), Current: n.gate.Applied(), Confirmed: n.gate.Age(n.now()), Members: n.members(),
	}
}

// usePresetTimeout is the timeout of putting a preset in force.
const usePresetTimeout = 10 * time.Second

// CreatePreset stores a preset that an operator has defined; the error is a *hgcall.Refusal.
func (n *Node) CreatePreset(ctx context.Context, p hgpreset.Preset) (err error) {
	err = hgpreset.Create(ctx, n.store, p)
	if trace.IsBadParameter(err) {
		return hgcall.Invalid("preset", "%s", trace.UserMessage(err))
	}
	if err != nil {
		return hgcall.NewRefusal(hgcall.KindUnavailable, hgcall.ReasonStore, time.Second, "%v", err)
	}
	return nil
}

// UsePreset puts a preset in force for the cell and announces it to the live peers. The error is a *hgfront.PresetConflict if
// another choice came first, else a *hgcall.Refusal.
func (n *Node) UsePreset(ctx context.Context, name, by string) (v hgpreset.Version, err error) {
	ctx, cancel := context.WithTimeout(ctx, usePresetTimeout)
	defer cancel()
	defined, err := hgpreset.Defined(ctx, n.store)
	if err != nil {
		return v, hgcall.NewRefusal(hgcall.KindUnavailable, hgcall.ReasonStore, time.Second, "%v", err)
	}
	p, ok := defined[name]
	if !ok {
		return v, hgcall.Invalid("name", "preset %q does not exist", name)
	}
	n.mu.Lock()
	initial := hgpreset.Version{Preset: n.gate.Applied().Preset}
	n.mu.Unlock()
	v, err = hgpreset.Choose(ctx, n.store, initial, p, by)
	var conflict *hgpreset.ConflictError
	if errors.As(err, &conflict) {
		return v, &hgfront.PresetConflict{Current: conflict.Winner}
	}
	if err != nil {
		return v, hgcall.NewRefusal(hgcall.KindUnknown, hgcall.ReasonStore, time.Second, "%v", err)
	}
	n.mu.Lock()
	if n.gate.Adopt(v, n.now()) {
		n.applyPreset(v)
	}
	n.mu.Unlock()
	n.background(n.announce)
	return v, nil
}

// Ready returns an error that says why the node takes no new work, or nil. Its text is the answer of the readiness probe.
func (n *Node) Ready() (err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.draining:
		return trace.ConnectionProblem(nil, "draining")
	case !n.gate.Open(n.now()):
		return trace.ConnectionProblem(nil, "preset in force is not confirmed for %s", n.gate.Age(n.now()))
	}
	return nil
}

// Drain stops the node without cutting a call: it releases its shards, goes on forwarding for callers that still hold its
// address, and returns once no caller is connected. If ctx ends first, the error says what is cut.
func (n *Node) Drain(ctx context.Context) (err error) {
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	n.log.Info("draining")
	n.public.AnnounceClose()
	n.announce()
	n.releaseIdle(ctx)
	if err := n.releaseRemaining(ctx); err != nil {
		return err
	}
	select {
	case <-time.After(hgconfig.Milliseconds(n.cfg.Limits.LocateTTLMs)):
	case <-ctx.Done():
	}
	if err := n.public.Shutdown(ctx); err != nil {
		return trace.Wrap(err, "callers still connected")
	}
	n.deregister()
	n.log.Info("drained")
	return nil
}

// releaseIdle releases shards whenever they run no call, for at most drainIdlePeriod. Until then busy shards are still
// served here, so that their callers need not wait for the next owner.
func (n *Node) releaseIdle(ctx context.Context) {
	end := n.now() + drainIdlePeriod
	for n.now() < end && ctx.Err() == nil {
		held := lo.Keys(n.owner.Epochs())
		if len(held) == 0 {
			return
		}
		n.release(ctx, held, true)
		time.Sleep(drainRetryInterval)
	}
}

const (
	// drainIdlePeriod is how long a draining node releases idle shards only and still serves the others.
	drainIdlePeriod = 3 * time.Second
	// drainRetryInterval is the pause between the attempts to release idle shards.
	drainRetryInterval = 50 * time.Millisecond
)

// releaseRemaining releases the other shards as their calls end. New calls of these shards wait for the next owner.
func (n *Node) releaseRemaining(ctx context.Context) (err error) {
	for ctx.Err() == nil {
		held := lo.Keys(n.owner.Epochs())
		if len(held) == 0 {
			return nil
		}
		var wg sync.WaitGroup
		for _, s := range held {
			wg.Go(func() { n.release(ctx, []uint32{s}, false) })
		}
		wg.Wait()
	}
	return trace.LimitExceeded("%d calls in progress are cut", n.owner.Running())
}

// deregister removes the registration, so that no peer waits for the node.
func (n *Node) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	if err := n.removeRegistration(ctx); err != nil {
		n.log.Warn("registration not removed", "err", err)
	}
}

// OwnedShards returns the number of shards that the node owns.
func (n *Node) OwnedShards() int { return len(n.owner.Epochs()) }

// Running returns the number of calls in progress.
func (n *Node) Running() int { return n.owner.Running() }
