package hgpeer

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/state/hgledger"
)

// maxCopies is the number of peers that hold a copy of a claim made while the store is unreachable.
const maxCopies = 3

// DiscoveryTime is the time after the start within which a node has had a heartbeat from every peer, also from those in
// other failure domains.
const DiscoveryTime = 3 * time.Second

// Backup gives the ledger of a node access to the peers, which stand in for the store while it is unreachable. It
// implements hgledger.Backup.
type Backup struct {
	members *Members
	client  claimClient
}

// claimClient calls peers about their claims on budgets.
type claimClient interface {
	Part(ctx context.Context, address string, q hgledger.SoleRequest) (hgledger.SoleReply, error)
	Copy(ctx context.Context, address string, q hgledger.Copy) (OKReply, error)
}

// NewBackup returns a Backup that calls the peers in m through c.
func NewBackup(m *Members, c claimClient) *Backup { return &Backup{members: m, client: c} }

// Ask asks all peers that may have taken part in a program for the claims on its budget that they know of. Each of these
// adds one to Answers.Unanswered: a peer that does not answer, a failure domain without a known live node, a node
// too young to know all peers, and answers of too few members (MayClaim). A peer whose process has ended serves no program any more, and
// other peers have the copies of its claims, so that it counts as if it had restarted: as one that knows nothing.
func (b *Backup) Ask(ctx context.Context, q hgledger.SoleRequest) (a hgledger.Answers) {
	if b.members.Age() < DiscoveryTime {
		a.Unanswered++
	}
	a.Unanswered += b.members.UnreachableDomains()
	peers := b.members.PossibleParticipants()
	var answered, informed, forgetful []Info
	for i, answer := range callAll(peers, func(p Info) (hgledger.SoleReply, error) { return b.part(ctx, p, q) }) {
		switch {
		case answer.err == nil:
			answered = append(answered, peers[i])
			a.Add(answer.reply)
			if answer.reply.Uninformed {
				forgetful = append(forgetful, peers[i])
			} else {
				informed = append(informed, peers[i])
			}
		case HasEnded(answer.err):
			forgetful = append(forgetful, peers[i])
		default:
			a.Unanswered++
		}
	}
	a.Minority = !b.members.IsMajority(answered)
	if !b.members.MayClaim(informed, forgetful) {
		a.Unanswered++
	}
	return a
}

// part asks one peer. A connection that breaks is tried once more, as the new one shows whether the peer's process has ended.
func (b *Backup) part(ctx context.Context, p Info, q hgledger.SoleRequest) (reply hgledger.SoleReply, err error) {
	reply, err = b.client.Part(ctx, p.Peer, q)
	if err == nil || HasEnded(err) || ctx.Err() != nil {
		return reply, err
	}
	return b.client.Part(ctx, p.Peer, q)
}

// HasEnded reports whether a call failed because the host of the peer says that nobody listens at its address. A peer that is
// cut off, frozen or without power does not answer at all.
func HasEnded(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// LacksMajority reports whether this node reaches no majority of the nodes, as on the minority side of a network partition.
func (b *Backup) LacksMajority() bool { return b.members.LacksMajority() }

// RowsMayBeStale reports whether this node or a peer has recently been without the store, or had claims that are not yet in
// a durable row. Rows may then understate the claims.
func (b *Backup) RowsMayBeStale() bool { return b.members.RowsMayBeStale() }

// Copy sends c to up to maxCopies live peers and returns how many of them hold it. Peers of this failure domain come
// first, because one of them owns the program if this node fails.
func (b *Backup) Copy(ctx context.Context, c hgledger.Copy) (copies int) {
	peers := lo.Filter(b.members.Live(), func(i Info, _ int) bool { return !i.Stopping })
	self := b.members.Self().Domain
	slices.SortStableFunc(peers, func(i, j Info) int {
		return cmp.Compare(lo.Ternary(i.Domain == self, 0, 1), lo.Ternary(j.Domain == self, 0, 1))
	})
	answers := callAll(peers[:min(len(peers), maxCopies)], func(p Info) (OKReply, error) { return b.client.Copy(ctx, p.Peer, c) })
	return lo.CountBy(answers, func(a callResult[OKReply]) bool { return a.err == nil && a.reply.OK })
}

// callResult is the outcome of a call to one peer.
type callResult[R any] struct {
	reply R
	err   error
}

// callAll calls all peers concurrently and returns their results in the order of peers.
func callAll[R any](peers []Info, call func(p Info) (R, error)) []callResult[R] {
	answers := make([]callResult[R], len(peers))
	var wg sync.WaitGroup
	for i, p := range peers {
		wg.Go(func() { answers[i].reply, answers[i].err = call(p) })
	}
	wg.Wait()
	return answers
}
