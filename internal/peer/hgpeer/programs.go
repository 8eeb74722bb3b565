package hgpeer

import (
	"context"
	"log/slog"
	"time"

	"hyssopgrade/internal/state/hgledger"
)

const (
	// answerTimeout is how long a peer may take to answer a call without any other sign of life.
	answerTimeout = 300 * time.Millisecond
	// maxQuietBeats is the number of heartbeat periods within which a sign of life must have come for the wait to go on.
	maxQuietBeats = 2
	// openTimeout and closeTimeout bound the calls to a peer whose heartbeats go on, for example while the store is slow.
	openTimeout  = 1500 * time.Millisecond
	closeTimeout = 3 * time.Second
	// extendTimeout bounds a call for more tokens. It is longer than a ledger takes to get them through a slow store.
	extendTimeout = time.Second
)

// Programs opens and closes turns at the node that owns a program, and at this node's own ledger if the owner does not
// answer.
type Programs struct {
	ledger  *hgledger.Ledger
	members *Members
	client  *Client
	log     *slog.Logger
}

// NewPrograms returns the Programs of a node; l is the node's own ledger.
func NewPrograms(l *hgledger.Ledger, m *Members, c *Client, log *slog.Logger) *Programs {
	return &Programs{ledger: l, members: m, client: c, log: log}
}

// Open asks the owner of a program whether a turn may run. It returns the node that decided, which Close needs.
func (p *Programs) Open(ctx context.Context, q hgledger.OpenRequest) (reply hgledger.OpenReply, owner Info) {
	owner, self, offline := p.members.Owner(q.Program)
	q.Offline = offline
	if disconnected, isSelf, ok := p.members.DisconnectedOwner(q.Program); ok && disconnected.Name != owner.Name && !q.Kept {
		// The disconnected owner goes on with the share it has claimed already. Turns that need more go to a node that
		// reaches the store, if there is one.
		known := q
		known.Offline, known.KnownOnly, known.Whole = true, true, !offline
		reply, server := p.openAt(ctx, disconnected, isSelf, known)
		if reply.Verdict == hgledger.Granted || reply.Verdict == hgledger.Spent {
			return reply, server
		}
	}
	reply, server := p.openAt(ctx, owner, self, q)
	if reply.Verdict != hgledger.Outage || reply.Elsewhere == "" {
		return reply, server
	}
	if holder, isSelf, ok := p.members.ByBoot(reply.Elsewhere); ok {
		known := q
		known.Offline, known.KnownOnly = true, true
		if r, server := p.openAt(ctx, holder, isSelf, known); r.Verdict == hgledger.Granted || r.Verdict == hgledger.Spent {
			return r, server
		}
	}
	if offline {
		return reply, server
	}
	q.Here = true
	return p.openAt(ctx, owner, self, q)
}

// openAt asks a node to open a turn, and opens it in this node's ledger if that node does not answer.
func (p *Programs) openAt(ctx context.Context, owner Info, self bool, q hgledger.OpenRequest) (reply hgledger.OpenReply, server Info) {
	if self {
		return p.ledger.Open(ctx, q), owner
	}
	reply, err := await(ctx, p.members, owner, p.waitPolicy(owner, openTimeout), func(ctx context.Context) (hgledger.OpenReply, error) {
		return p.client.Open(ctx, owner.Peer, q)
	})
	if err == nil {
		return reply, owner
	}
	p.log.Warn("peer did not open the turn; opening it locally", "peer", owner.Name, "attempt", q.Attempt, "error", err)
	go p.withdraw(owner, q)
	return p.ledger.Open(ctx, q), p.members.Self()
}

// withdraw closes the turn that a peer may have opened although it did not answer in time.
func (p *Programs) withdraw(owner Info, q hgledger.OpenRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := p.client.Close(ctx, owner.Peer, hgledger.CloseRequest{Program: q.Program, Attempt: q.Attempt})
	if err != nil {
		p.log.Debug("turn not closed at the peer that did not answer", "peer", owner.Name, "attempt", q.Attempt, "error", err)
	}
}

// Close settles a turn at the node that opened it. If that node fails, this node's ledger settles the turn, and
// stores it if the request holds a turn to store.
func (p *Programs) Close(ctx context.Context, owner Info, q hgledger.CloseRequest) (err error) {
	if owner.Name == p.members.Self().Name {
		return p.ledger.Close(ctx, q)
	}
	_, err = await(ctx, p.members, owner, p.waitPolicy(owner, closeTimeout), func(ctx context.Context) (Empty, error) {
		return Empty{}, p.client.Close(ctx, owner.Peer, q)
	})
	if err == nil {
		p.ledger.ReleaseExtension(q)
		return nil
	}
	p.log.Warn("peer did not close the turn; closing it locally", "peer", owner.Name, "attempt", q.Attempt, "error", err)
	return p.ledger.Close(ctx, q)
}

// IsStopping reports whether the node that opened a turn is known to shut down.
func (p *Programs) IsStopping(owner Info) bool { return p.members.IsStopping(owner) }

// Extend asks the node that opened a turn for more tokens, and returns how many were added to its reservation. If that node does
// not answer, or has restarted, this node's ledger reserves all that the turn may still need: since it may count tokens twice that are
// in the share of that node, it can do so once.
func (p *Programs) Extend(ctx context.Context, owner Info, q hgledger.ExtendRequest) (tokens int) {
	if owner.Name == p.members.Self().Name {
		return p.extendLocally(ctx, q)
	}
	peerCtx, cancel := context.WithTimeout(ctx, extendTimeout)
	defer cancel()
	reply, err := p.client.Extend(peerCtx, owner.Peer, q)
	if err == nil && !reply.NotHolder {
		return reply.Tokens
	}
	p.log.Warn("peer did not extend the reservation; extending it locally", "peer", owner.Name, "attempt", q.Attempt, "error", err)
	q.Holder, q.Tokens = "", q.Rest
	return p.extendLocally(ctx, q)
}

func (p *Programs) extendLocally(ctx context.Context, q hgledger.ExtendRequest) (tokens int) {
	ctx, cancel := context.WithTimeout(ctx, extendTimeout)
	defer cancel()
	return p.ledger.Extend(ctx, q).Tokens
}

// waitPolicy returns a policy that waits up to timeout while the peer shows signs of life, for example while the store is
// slow.
func (p *Programs) waitPolicy(peer Info, timeout time.Duration) waitPolicy {
	return waitPolicy{timeout: timeout, checkInterval: answerTimeout, isSilent: func() bool { return p.isSilent(peer) }}
}

// isSilent reports whether there is no sign of life of a peer. On a large site most peers send no heartbeats to this node, so
// it sends one itself and waits for the reply.
func (p *Programs) isSilent(peer Info) bool {
	switch {
	case p.members.HeardWithin(peer.Name, maxQuietBeats*p.members.HeartbeatPeriod()):
		return false
	case !p.members.IsLarge():
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	reply, err := p.client.Beat(ctx, peer.Peer, Beat{Info: p.members.Self(), Ask: GossipQuery{SignOnly: true}})
	if err != nil || reply.Info.Name != peer.Name {
		return true
	}
	p.members.HandleReply(reply)
	return false
}
