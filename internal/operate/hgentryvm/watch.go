package hgentryvm

import (
	"context"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/state/hgfeed"
	hgplatform "hyssopgrade/platform"
)

const (
	// peerFetchDelay is how long the watch of a table must have been failing before the table is fetched from a peer.
	peerFetchDelay = 250 * time.Millisecond
	// idleWait is how long the store may hold the polls of an idle node, which serves no callers. Heartbeats of hubs tell
	// such a node of newer versions.
	idleWait = 8 * time.Second
)

// lapseHeartbeats is the number of heartbeats of replicas without the store after which their registrations may have expired. They do
// after three; the last one may have been almost one old when the outage began, and heartbeats may be late.
const lapseHeartbeats = 1.5

// lapseTime returns the time without the store after which registrations of replicas may have expired.
func (n *Node) lapseTime() time.Duration {
	return time.Duration(lapseHeartbeats * n.cfg.Bounds.ReplicaHeartbeatMs * float64(time.Millisecond))
}

// watchWait returns how long the store may hold a poll of a watch.
func (n *Node) watchWait() time.Duration {
	if n.members.IsIdle() {
		return idleWait
	}
	return hgfeed.DefaultWait
}

// shortenWatches ends polls that the store has held beyond DefaultWait, once the node is no longer idle. The poll of the desired
// state ends also when peers no longer prove that it is the newest.
func (n *Node) shortenWatches() {
	if n.members.IsIdle() {
		if n.fresh != nil && !n.fresh.evidence.PeersSuffice() {
			n.watches[hgplatform.DesiredTable].ShortenWait()
		}
		return
	}
	for _, w := range n.watches {
		w.ShortenWait()
	}
}

// hasReadNodes reports whether the node has read nodeTable from the store since it started. A peer's copy may be older.
func (n *Node) hasReadNodes() bool { return n.watches[nodeTable].Age() < n.members.Age() }

// fetchTable handles a peer's report of a table's version. If it is newer than this node's, the watch is told, and the table
// is fetched from the peer if the watch is failing.
func (n *Node) fetchTable(ctx context.Context, p hgpeer.Info, table string, changed uint64) {
	w, ok := n.watches[table]
	if !ok || changed <= w.Changed() {
		return
	}
	w.NotePeerVersion(changed)
	if w.Failing() < peerFetchDelay {
		return
	}
	c, err := n.client.Table(ctx, p.Peer, table)
	if err != nil {
		n.log.Debug("cannot fetch table from a peer", "table", table, "peer", p.Name, "error", err)
		return
	}
	// A peer of an older build may send keys in plaintext.
	c.Rows = lo.MapValues(c.Rows, func(r hgstore.Row, _ string) hgstore.Row { return hgplatform.RedactRow(r) })
	w.Offer(c)
}
