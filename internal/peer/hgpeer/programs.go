package hgpeer

import (
	"context"
	"log/slog"
	"time"

	"hyssopgrade/internal/state/hgledger"
)

const (
	// answerTime is how long a peer may take for a message while nothing else is heard of it.
	answerTime = 300 * time.Millisecond
	// signBeats is the number of heartbeats within which there must be a sign of a peer to wait on for it.
	signBeats = 2
	// openTime and closeTime bound messages to a peer whose heartbeats go on, as when the store is slow.
	openTime  = 1500 * time.Millisecond
	closeTime = 3 * time.Second
)

// Programs finds the node that serves a program, and steps in for one that does not answer.
type Programs struct {
	ledger  *hgledger.Ledger
	members *Members
	client  *Client
	log     *slog.Logger
}

// NewPrograms returns the programs of a site as one of its nodes serves them.
func NewPrograms(l *hgledger.Ledger, m *Members, c *Client, log *slog.Logger) *Programs {
	return &Programs{ledger: l, members: m, client: c, log: log}
}

// Open decides whether a turn may run.
func (p *Programs) Open(ctx context.Context, q hgledger.OpenRequest) (reply hgledger.OpenReply, owner Info) {
	owner, self, offline := p.members.Owner(q.Program)
	q.Offline = offline
	if cut, cutSelf, ok := p.members.CutOwner(q.Program); ok && cut.Name != owner.Name && !q.Kept {
		// It goes on with what it has taken before. While others reach the store, they serve turns that need more.
		known := q
		known.Offline, known.KnownOnly, known.Whole = true, true, !offline
		reply, by := p.openAt(ctx, cut, cutSelf, known)
		if reply.Verdict == hgledger.Granted || reply.Verdict == hgledger.Spent {
			return reply, by
		}
	}
	return p.openAt(ctx, owner, self, q)
}

// openAt asks a node, and decides itself if that one does not answer.
func (p *Programs) openAt(ctx context.Context, owner Info, self bool, q hgledger.OpenRequest) (reply hgledger.OpenReply, by Info) {
	if self {
		return p.ledger.Open(ctx, q), owner
	}
	reply, err := await(ctx, p.members, owner, p.patience(owner, openTime), func(ctx context.Context) (hgledger.OpenReply, error) {
		return p.client.Open(ctx, owner.Peer, q)
	})
	if err == nil {
		return reply, owner
	}
	p.log.Warn("peer did not open a turn", "peer", owner.Name, "attempt", q.Attempt, "error", err)
	go p.withdraw(owner, q)
	return p.ledger.Open(ctx, q), p.members.Self()
}

// withdraw tells a peer that did not answer in time to close the turn that it may have opened.
func (p *Programs) withdraw(owner Info, q hgledger.OpenRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	err := p.client.Close(ctx, owner.Peer, hgledger.CloseRequest{Program: q.Program, Attempt: q.Attempt})
	if err != nil {
		p.log.Debug("turn not withdrawn", "peer", owner.Name, "attempt", q.Attempt, "error", err)
	}
}

// Close settles a turn at the node that opened it; the turn to keep is written by this node if that one fails.
func (p *Programs) Close(ctx context.Context, owner Info, q hgledger.CloseRequest) (err error) {
	if owner.Name == p.members.Self().Name {
		return p.ledger.Close(ctx, q)
	}
	_, err = await(ctx, p.members, owner, p.patience(owner, closeTime), func(ctx context.Context) (Empty, error) {
		return Empty{}, p.client.Close(ctx, owner.Peer, q)
	})
	if err == nil {
		return nil
	}
	p.log.Warn("peer did not close a turn", "peer", owner.Name, "attempt", q.Attempt, "error", err)
	return p.ledger.Close(ctx, q)
}

// patience waits on while heartbeats of a peer go on, as when the store is slow.
func (p *Programs) patience(peer Info, limit time.Duration) patience {
	return patience{limit: limit, tick: answerTime, isSilent: func() bool { return p.isSilent(peer) }}
}

// isSilent says whether there is no sign of a peer. On a large site most peers send no heartbeats to this node, which
// then asks for a sign.
func (p *Programs) isSilent(peer Info) bool {
	switch {
	case p.members.HeardWithin(peer.Name, signBeats*p.members.Pace()):
		return false
	case !p.members.IsLarge():
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	reply, err := p.client.Beat(ctx, peer.Peer, Beat{Info: p.members.Self(), Ask: Ask{SignOnly: true}})
	if err != nil || reply.Info.Name != peer.Name {
		return true
	}
	p.members.Heard(reply)
	return false
}
