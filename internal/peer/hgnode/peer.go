package hgnode

import (
	"context"
	"sync"
	"time"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgquarantine"
	"hyssopgrade/internal/peer/hginner"
	"hyssopgrade/internal/serve/hgowner"
)

// peerSide is the node as its peers see it.
type peerSide Node

// Beat takes a peer's heartbeat and answers with this node's.
func (p *peerSide) Beat(b hginner.Beat) hginner.Beat {
	n := (*Node)(p)
	n.mu.Lock()
	defer n.mu.Unlock()
	m, known := n.view.Member(b.ID)
	if n.take(b) && known {
		n.background(func() { n.fetchPreset(m.Inner) })
	}
	return n.message(b.ID)
}

// Preset returns the version that the node applies.
func (p *peerSide) Preset() hginner.PresetReply {
	n := (*Node)(p)
	n.mu.Lock()
	defer n.mu.Unlock()
	return hginner.PresetReply{Version: n.gate.Applied(), Age: n.gate.Age(n.now())}
}

// Suspect takes a suspect that an endpoint died under.
func (p *peerSide) Suspect(s hgquarantine.Suspect) {
	if !s.Cleared {
		p.turns.refute(hgquarantine.KeyOf(s.Digest))
	}
	p.owner.Merge([]hgquarantine.Suspect{s})
}

// Nudge reads the shard rows and plans anew.
func (p *peerSide) Nudge() {
	n := (*Node)(p)
	ctx, cancel := context.WithTimeout(n.ctx, opTimeout)
	defer cancel()
	if err := n.readRows(ctx); err != nil {
		n.log.Warn("shard rows not read", "err", err)
		return
	}
	n.plan()
}

// Serve runs a call of a shard that this node owns.
func (p *peerSide) Serve(ctx context.Context, c hgcall.Call, out hgowner.Sink) (r hgcall.Result, err error) {
	return (*Node)(p).serveOwn(ctx, c, out)
}

// End ends a program of a shard that this node owns.
func (p *peerSide) End(ctx context.Context, program string) (err error) {
	return p.owner.End(ctx, program)
}

// Query answers a question about a program of a shard that this node owns.
func (p *peerSide) Query(q hginner.Query) (a hginner.Answer, err error) {
	if q.History {
		a.History, err = p.owner.History(q.Program)
		return a, err
	}
	s, err := p.owner.Program(q.Program)
	a.Status = &s
	return a, err
}

// shareTimeout bounds the telling of a suspect before its caller is answered.
const shareTimeout = time.Second

// Share tells the live peers of a suspect.
func (p *peerSide) Share(s hgquarantine.Suspect) {
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
	told := make(chan struct{})
	go func() {
		wg.Wait()
		close(told)
	}()
	select {
	case <-told:
	case <-time.After(shareTimeout):
	}
}
