package hgpeer

import (
	"context"

	"github.com/samber/lo"

	"hyssopgrade/internal/state/hgledger"
)

// EndedOpeners returns those of the nodes whose processes have ended: nobody listens at the address, or another process does. A node
// that does not answer may be cut off, and its turns may go on.
func EndedOpeners(ctx context.Context, m *Members, c *Client, openers []hgledger.Opener) (ended []hgledger.Opener) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	peers := lo.Map(openers, func(o hgledger.Opener, _ int) Info { return Info{Boot: o.Boot, Peer: o.Address} })
	sign := Beat{Info: m.Self(), Ask: GossipQuery{SignOnly: true}}
	for i, answer := range callAll(peers, func(p Info) (Beat, error) { return c.Beat(ctx, p.Peer, sign) }) {
		if HasEnded(answer.err) || answer.err == nil && answer.reply.Info.Boot != openers[i].Boot {
			ended = append(ended, openers[i])
		}
	}
	return ended
}
