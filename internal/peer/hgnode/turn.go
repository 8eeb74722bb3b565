package hgnode

import (
	"sync"
	"time"

	"hyssopgrade/hgmember"
	"hyssopgrade/hgquarantine"
	"hyssopgrade/hgshard"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/peer/hgnoderpc"
)

// turnTimeout is the timeout of asking for a turn; without a reply in time the copy runs.
const turnTimeout = 200 * time.Millisecond

// turns guards with a lock the turns that this node grants to copies of requests, and the requests that it knows to be
// proven harmless.
type turns struct {
	timer hgtimer.Timer

	mu    sync.Mutex
	state *hgquarantine.Serializer
}

func newTurns(timer hgtimer.Timer) *turns {
	return &turns{timer: timer, state: hgquarantine.NewSerializer()}
}

func (t *turns) enter(k hgquarantine.Key, h hgquarantine.Holder) (ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Enter(k, h, t.timer.Now())
}

func (t *turns) leave(k hgquarantine.Key, h hgquarantine.Holder, proven bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.Leave(k, h, proven)
}

func (t *turns) proven(k hgquarantine.Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Proven(k)
}

func (t *turns) refute(k hgquarantine.Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.Refute(k)
}

func (t *turns) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.Tick(t.timer.Now())
}

// turnCoordinator returns the node that grants the turns of a request, by rendezvous hashing over this node and its live
// peers.
func (n *Node) turnCoordinator(digest string) hgmember.Member {
	n.mu.Lock()
	members := append(n.view.Live(n.now()), n.view.Self())
	n.mu.Unlock()
	return hgshard.Ranked(digest, members, 1)[0]
}

// Enter reports whether a copy of a request may run now. It may also run if the coordinator does not reply.
func (p *peerHandler) Enter(digest string, h hgquarantine.Holder) (ok bool) {
	n := (*Node)(p)
	k := hgquarantine.KeyOf(digest)
	if n.turns.proven(k) {
		return true
	}
	coordinator := n.turnCoordinator(digest)
	if coordinator.ID == n.cfg.Node.ID {
		return n.turns.enter(k, h)
	}
	answer := make(chan bool, 1)
	n.background(func() {
		ok, err := n.client.EnterTurn(coordinator.Inner, hgnoderpc.Turn{Key: k, Holder: h})
		if err != nil {
			n.log.Warn("turn coordinator did not reply, the copy runs", "digest", digest, "keeper", coordinator.ID, "err", err)
		}
		answer <- ok || err != nil
	})
	select {
	case ok = <-answer:
		return ok
	case <-time.After(turnTimeout):
		return true
	}
}

// Leave ends a copy's turn, here and at the coordinator. proven says that the copy did not crash its endpoint.
func (p *peerHandler) Leave(digest string, h hgquarantine.Holder, proven bool) {
	n := (*Node)(p)
	k := hgquarantine.KeyOf(digest)
	alreadyProven := n.turns.proven(k)
	n.turns.leave(k, h, proven)
	coordinator := n.turnCoordinator(digest)
	if alreadyProven || coordinator.ID == n.cfg.Node.ID {
		return
	}
	n.background(func() { _ = n.client.LeaveTurn(coordinator.Inner, hgnoderpc.Turn{Key: k, Holder: h, Proven: proven}) })
}

// EnterTurn reports whether a peer's copy of a request may run now.
func (p *peerHandler) EnterTurn(t hgnoderpc.Turn) (ok bool) { return p.turns.enter(t.Key, t.Holder) }

// LeaveTurn ends the turn of a peer's copy.
func (p *peerHandler) LeaveTurn(t hgnoderpc.Turn) { p.turns.leave(t.Key, t.Holder, t.Proven) }
