package hgnode

import (
	"context"
	"sync"
	"time"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgquarantine"
	"hyssopgrade/internal/peer/hgnoderpc"
	"hyssopgrade/internal/serve/hgowner"
)

// peerHandler is the node's side of the messages between nodes: it answers peers as hgnoderpc.Node, and sends suspects and
// turns to them as hgowner.Sharer and hgowner.Turns.
type peerHandler Node

// Beat processes a peer's heartbeat and returns this node's. It fetches the preset if the peer's is newer.
func (p *peerHandler) Beat(b hgnoderpc.Beat) hgnoderpc.Beat {
	n := (*Node)(p)
	n.mu.Lock()
	defer n.mu.Unlock()
	m, known := n.view.Member(b.ID)
	if n.applyHeartbeat(b) && known {
		n.background(func() { n.fetchPreset(m.Inner) })
	}
	return n.heartbeat(b.ID)
}

// Preset returns the version of the preset that the node applies, and the time since it was last known to be the newest.
func (p *peerHandler) Preset() hgnoderpc.PresetReply {
	n := (*Node)(p)
	n.mu.Lock()
	defer n.mu.Unlock()
	return hgnoderpc.PresetReply{Version: n.gate.Applied(), Age: n.gate.Age(n.now())}
}

// Suspect records a request that was running when an endpoint died, or its clearing. Unless it is cleared, the request no
// longer counts as proven harmless.
func (p *peerHandler) Suspect(s hgquarantine.Suspect) {
	if !s.Cleared {
		p.turns.refute(hgquarantine.KeyOf(s.Digest))
	}
	p.owner.MergeSuspects([]hgquarantine.Suspect{s})
}

// Nudge reads the shard rows and plans again.
func (p *peerHandler) Nudge() {
	n := (*Node)(p)
	ctx, cancel := context.WithTimeout(n.ctx, platformTimeout)
	defer cancel()
	if err := n.readRows(ctx); err != nil {
		n.log.Warn("shard rows not read", "err", err)
		return
	}
	n.plan()
}

// Serve runs a call of a shard that this node owns.
func (p *peerHandler) Serve(ctx context.Context, c hgcall.Call, out hgowner.Sink) (r hgcall.Result, err error) {
	return (*Node)(p).serveLocally(ctx, c, out)
}

// End ends a program of a shard that this node owns.
func (p *peerHandler) End(ctx context.Context, program string) (err error) {
	return p.owner.End(ctx, program)
}

// Query returns the status or the history of a program of a shard that this node owns.
func (p *peerHandler) Query(q hgnoderpc.Query) (a hgnoderpc.Answer, err error) {
	if q.History {
		a.History, err = p.owner.History(q.Program)
		return a, err
	}
	s, err := p.owner.Program(q.Program)
	a.Status = &s
	return a, err
}

// shareTimeout is the longest time that Share waits for peers, as the request's caller is answered only afterwards.
const shareTimeout = time.Second

// Share sends a suspect to the live peers and waits until all have replied, or for shareTimeout.
func (p *peerHandler) Share(s hgquarantine.Suspect) {
	n := (*Node)(p)
	if !s.Cleared {
		n.turns.refute(hgquarantine.KeyOf(s.Digest))
	}
	n.mu.Lock()
	live := n.view.Live(n.now())
	n.mu.Unlock()
	var wg sync.WaitGroup
	for _, m := range live {
		wg.Go(func() { _ = n.client.Suspect(m.Inner, s) })
	}
	allReplied := make(chan struct{})
	go func() {
		wg.Wait()
		close(allReplied)
	}()
	select {
	case <-allReplied:
	case <-time.After(shareTimeout):
	}
}
