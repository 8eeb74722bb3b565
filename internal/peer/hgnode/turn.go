package hgnode

import (
	"sync"
	"time"

	"hyssopgrade/hgmember"
	"hyssopgrade/hgquarantine"
	"hyssopgrade/hgshard"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/peer/hginner"
)

// turnTimeout bounds the question for a turn; without an answer the copy runs.
const turnTimeout = 200 * time.Millisecond

// turns are the turns that this node gives, and the requests that it knows to be proven, under a lock.
type turns struct {
	timer hgtimer.Timer

	mu    sync.Mutex
	state *hgquarantine.Turns
}

func newTurns(timer hgtimer.Timer) *turns {
	return &turns{timer: timer, state: hgquarantine.NewTurns()}
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

// turnKeeper returns the node that gives the turns of a request: rendezvous hashing over the members that are heard.
func (n *Node) turnKeeper(digest string) hgmember.Member {
	n.mu.Lock()
	members := append(n.view.Live(n.now()), n.view.Self())
	n.mu.Unlock()
	return hgshard.Ranked(digest, members, 1)[0]
}

// Enter tells whether a copy of a request may run now. It may too if the node that gives its turns does not answer.
func (p *peerSide) Enter(digest string, h hgquarantine.Holder) (ok bool) {
	n := (*Node)(p)
	k := hgquarantine.KeyOf(digest)
	if n.turns.proven(k) {
		return true
	}
	keeper := n.turnKeeper(digest)
	if keeper.ID == n.cfg.Node.ID {
		return n.turns.enter(k, h)
	}
	answer := make(chan bool, 1)
	n.background(func() {
		ok, err := n.client.EnterTurn(keeper.Inner, hginner.Turn{Key: k, Holder: h})
		if err != nil {
			n.log.Warn("turn not answered", "digest", digest, "keeper", keeper.ID, "err", err)
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

// Leave ends a copy's turn.
func (p *peerSide) Leave(digest string, h hgquarantine.Holder, proven bool) {
	n := (*Node)(p)
	k := hgquarantine.KeyOf(digest)
	known := n.turns.proven(k)
	n.turns.leave(k, h, proven)
	keeper := n.turnKeeper(digest)
	if known || keeper.ID == n.cfg.Node.ID {
		return
	}
	n.background(func() { _ = n.client.LeaveTurn(keeper.Inner, hginner.Turn{Key: k, Holder: h, Proven: proven}) })
}

// EnterTurn gives a peer's copy its turn.
func (p *peerSide) EnterTurn(t hginner.Turn) (ok bool) { return p.turns.enter(t.Key, t.Holder) }

// LeaveTurn takes the end of a peer's copy.
func (p *peerSide) LeaveTurn(t hginner.Turn) { p.turns.leave(t.Key, t.Holder, t.Proven) }
