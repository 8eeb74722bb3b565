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

// Locate names addresses to use for a program: its owner, then the nodes of this node's failure domain, then others.
func (n *Node) Locate(program string) hgfront.Location {
	n.mu.Lock()
	defer n.mu.Unlock()
	members := n.view.Takers(n.draining, n.now())
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

// members describes the cell; the caller holds the lock.
func (n *Node) members() []hgfront.MemberStatus {
	now := n.now()
	live := lo.SliceToMap(n.view.Live(now), func(m hgmember.Member) (string, bool) { return m.ID, true })
	takers := lo.SliceToMap(n.view.Takers(n.draining, now), func(m hgmember.Member) (string, bool) { return m.ID, true })
	list := []hgfront.MemberStatus{{
		ID: n.cfg.Node.ID, Domain: n.cfg.Node.Domain, Public: n.cfg.Node.Public, Live: true, Draining: n.draining,
		PresetVersion: n.gate.Applied().Number,
	}}
	for _, m := range n.view.Peers() {
		list = append(list, hgfront.MemberStatus{
			ID: m.ID, Domain: m.Domain, Public: m.Public, Live: live[m.ID], Draining: live[m.ID] && !takers[m.ID],
			PresetVersion: n.gate.PeerNumber(m.ID),
		})
	}
	return list
}

// Overview describes the node and its cell.
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

// Presets describes the presets; while the store is out of reach only the shipped ones are named.
func (n *Node) Presets(ctx context.Context) hgfront.PresetStatus {
	defined, err := hgpreset.Defined(ctx, n.store)
	if err != nil {
		n.log.Warn("created presets not read", "err", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return hgfront.PresetStatus{
		Names: hgpreset.Names(defined), Current: n.gate.Applied(), Confirmed: n.gate.Age(n.now()), Members: n.members(),
	}
}

// chooseTimeout bounds the choice of a preset.
const chooseTimeout = 10 * time.Second

// CreatePreset stores a preset.
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

// UsePreset puts a preset in force.
func (n *Node) UsePreset(ctx context.Context, name, by string) (v hgpreset.Version, err error) {
	ctx, cancel := context.WithTimeout(ctx, chooseTimeout)
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
	first := hgpreset.Version{Preset: n.gate.Applied().Preset}
	n.mu.Unlock()
	v, err = hgpreset.Choose(ctx, n.store, first, p, by)
	var taken *hgpreset.Taken
	if errors.As(err, &taken) {
		return v, &hgfront.PresetConflict{Current: taken.Winner}
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

// Ready returns why the node takes no new work, or nil.
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

// Drain stops the node without cutting a call: it gives its shards up, goes on forwarding for callers that hold
// its address, and returns when none is left. ctx ends the wait; the error then says what is cut.
func (n *Node) Drain(ctx context.Context) (err error) {
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	n.log.Info("draining")
	n.public.SetKeepAlivesEnabled(false)
	n.announce()
	n.releaseIdle(ctx)
	if err := n.releaseRest(ctx); err != nil {
		return err
	}
	select {
	case <-time.After(hgconfig.MS(n.cfg.Limits.LocateTTLMs)):
	case <-ctx.Done():
	}
	if err := n.public.Shutdown(ctx); err != nil {
		return trace.Wrap(err, "callers still connected")
	}
	n.deregister()
	n.log.Info("drained")
	return nil
}

// releaseIdle gives up shards while they run no call, for as long as others get the chance to end.
func (n *Node) releaseIdle(ctx context.Context) {
	end := n.now() + drainIdle
	for n.now() < end && ctx.Err() == nil {
		held := lo.Keys(n.owner.Epochs())
		if len(held) == 0 {
			return
		}
		n.release(ctx, held, true)
		time.Sleep(drainRetry)
	}
}

// Times of the two steps in which shards are given up.
const (
	drainIdle  = 3 * time.Second
	drainRetry = 50 * time.Millisecond
)

// releaseRest gives up the other shards as their calls end, while new calls wait for the next owner.
func (n *Node) releaseRest(ctx context.Context) (err error) {
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

// deregister removes the registration, so that no one waits for the node.
func (n *Node) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), opTimeout)
	defer cancel()
	if err := n.removeRegistration(ctx); err != nil {
		n.log.Warn("registration not removed", "err", err)
	}
}

// Owned returns the number of shards that the node owns.
func (n *Node) Owned() int { return len(n.owner.Epochs()) }

// Running returns the number of calls in progress.
func (n *Node) Running() int { return n.owner.Running() }
