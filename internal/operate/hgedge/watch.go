package hgedge

import (
	"context"
	"time"

	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/state/hgfeed"
)

const (
	// feedPatience is how long a table's watch must fail before a peer's copy is fetched.
	feedPatience = 250 * time.Millisecond
	// longWait is how long the store may hold the watches of a node that serves nobody, while hubs tell it of newer
	// versions.
	longWait = 8 * time.Second
)

// feedWait returns how long the store may hold a watch's call.
func (n *Node) feedWait() time.Duration {
	if n.members.IsIdle() {
		return longWait
	}
	return hgfeed.DefaultWait
}

// hurryWatches ends the long calls of a node that is not to wait so long any more.
func (n *Node) hurryWatches() {
	if n.members.IsIdle() {
		return
	}
	for _, w := range n.watches {
		w.ShortenWait()
	}
}

// takeTable fetches a peer's newer copy of a table if the store does not tell this node.
func (n *Node) takeTable(ctx context.Context, p hgpeer.Info, table string, changed uint64) {
	w, ok := n.watches[table]
	if !ok || changed <= w.Changed() {
		return
	}
	w.NotePeerVersion(changed)
	if w.Failing() < feedPatience {
		return
	}
	c, err := n.client.Table(ctx, p.Peer, table)
	if err != nil {
		n.log.Debug("table not fetched", "table", table, "peer", p.Name, "error", err)
		return
	}
	w.Offer(c)
}
