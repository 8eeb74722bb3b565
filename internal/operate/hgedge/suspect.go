package hgedge

import (
	"context"

	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/serve/hgsuspect"
)

// suspects are the requests that break off replicas, as all entry VMs have seen them.
type suspects struct {
	*hgsuspect.List
	node *Node
}

// brokeAtPeer counts a break that a peer has told of.
func (n *Node) brokeAtPeer(digest uint64) {
	n.log.Info("break heard of", "digest", digest, "breaks", n.suspects.Broke(digest))
}

// Broke counts a break and tells all live peers, on a large site with the heartbeats.
func (s suspects) Broke(digest uint64) {
	breaks := s.List.Broke(digest)
	s.node.log.Info("break counted", "digest", digest, "breaks", breaks)
	if s.node.members.IsLarge() {
		s.node.members.TellBreak(digest)
		return
	}
	for _, p := range s.node.members.Live() {
		go func() {
			ctx, cancel := context.WithTimeout(s.node.ctx, beatTime)
			defer cancel()
			if err := s.node.client.Broke(ctx, p.Peer, hgpeer.BrokeRequest{Digest: digest}); err != nil {
				s.node.log.Info("break not told", "digest", digest, "peer", p.Name, "error", err)
			}
		}()
	}
}
