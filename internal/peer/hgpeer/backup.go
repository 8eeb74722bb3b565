package hgpeer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/state/hgledger"
)

// maxCopies is the number of peers that hold what was taken while the store is out of reach.
const maxCopies = 3

// knowsPeersAfter is the time after the start in which each peer has sent a heartbeat, those in other failure domains too.
const knowsPeersAfter = 3 * time.Second

// Backup is the live peers of a node, as its ledger needs them while the store is out of reach.
type Backup struct {
	members *Members
	client  *Client
}

// NewBackup returns a backup on the live peers.
func NewBackup(m *Members, c *Client) *Backup { return &Backup{members: m, client: c} }

// Ask asks all peers what part they have in a program. A node that has just started may not know all peers yet,
// which counts as one that does not answer.
func (b *Backup) Ask(ctx context.Context, q hgledger.SoleRequest) (a hgledger.Answers) {
	if b.members.Age() < knowsPeersAfter {
		a.None++
	}
	a.None += b.members.Unheard()
	answers := askAll(b.members.Concerned(), func(p Info) (hgledger.SoleReply, error) { return b.client.Part(ctx, p.Peer, q) })
	for _, answer := range answers {
		if answer.err != nil {
			a.None++
		} else {
			a.Add(answer.reply)
		}
	}
	if !b.members.IsMajority(a.Sole + a.Part) {
		a.None++
	}
	return a
}

// IsApart says whether this node hears no majority of all nodes.
func (b *Backup) IsApart() bool { return b.members.IsApart() }

// Troubled says whether this node or a peer has lately been without the store, or has taken tokens without a row.
func (b *Backup) Troubled() bool { return b.members.Troubled() }

// Copy returns how many peers hold a copy, those of this failure domain first, as one of them serves the program next.
func (b *Backup) Copy(ctx context.Context, c hgledger.Copy) (copies int) {
	peers := lo.Filter(b.members.Live(), func(i Info, _ int) bool { return !i.Stopping })
	self := b.members.Self().Domain
	slices.SortStableFunc(peers, func(i, j Info) int {
		return cmp.Compare(lo.Ternary(i.Domain == self, 0, 1), lo.Ternary(j.Domain == self, 0, 1))
	})
	answers := askAll(peers[:min(len(peers), maxCopies)], func(p Info) (OKReply, error) { return b.client.Copy(ctx, p.Peer, c) })
	return lo.CountBy(answers, func(a answer[OKReply]) bool { return a.err == nil && a.reply.OK })
}

type answer[R any] struct {
	reply R
	err   error
}

// askAll asks all peers at once and returns their answers.
func askAll[R any](peers []Info, ask func(p Info) (R, error)) []answer[R] {
	answers := make([]answer[R], len(peers))
	var wg sync.WaitGroup
	for i, p := range peers {
		wg.Go(func() { answers[i].reply, answers[i].err = ask(p) })
	}
	wg.Wait()
	return answers
}
