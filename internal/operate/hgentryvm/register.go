package hgentryvm

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/peer/hgpeer"
)

const (
	// registerRetryDelay is the pause after a failed attempt to write the node's row.
	registerRetryDelay = 300 * time.Millisecond
	// removePeriod is the time between two looks for nodes that are gone.
	removePeriod = 250 * time.Millisecond
	// maxRemoved bounds the rows that one transaction removes, each on a condition; the store accepts 100 entries.
	maxRemoved = 45
)

// nodeKey returns the key of a node's row.
func nodeKey(name string) string { return nodeTable + "//" + name }

// register writes the node's row to the store, with retries until it has succeeded or the node ends. If first is set, all nodes of the
// site start for the first time, and this one is a member from the start unless its row comes when others may act already.
func (n *Node) register(first bool) {
	for n.ctx.Err() == nil && !n.stopping.Load() {
		if first && n.members.Age() >= hgpeer.DiscoveryTime {
			first = false
			n.members.LoseRow()
		}
		version, known, err := n.writeRow(n.ctx)
		if err == nil {
			n.members.Join(first || known)
			n.rowVersion.Store(version)
			return
		}
		n.log.Debug("row of this node not written", "error", err)
		time.Sleep(registerRetryDelay)
	}
}

// writeRow writes the node's row. Known says that it replaced the row of an earlier process that others counted, as it had not
// announced its stop.
func (n *Node) writeRow(ctx context.Context) (version uint64, known bool, err error) {
	defer func() { err = trace.Wrap(err, "write the row of this node") }()
	old, oldVersion, err := n.readRow(ctx)
	if err != nil {
		return 0, false, err
	}
	self := n.members.Self()
	if old.Boot == self.Boot && !self.Stopping {
		// An earlier attempt took effect without a reply.
		return oldVersion, false, nil
	}
	known = takesOver(old, self)
	n.members.SetSelf(func(i hgpeer.Info) hgpeer.Info {
		i.Registered = time.Now().UnixMilli()
		if old.Boot != i.Boot {
			// Of two processes under one name others take the one that started later for the present one, but the clock may have been set back.
			i.Started = max(i.Started, old.Started+1)
		}
		return i
	})
	self = n.members.Self()
	self.Joining = self.Joining && !known
	value, err := infoCodec.Encode(self)
	if err != nil {
		return 0, false, err
	}
	key := nodeKey(self.Name)
	version, err = n.store.Commit(ctx, hgstore.Txn{
		Conditions: []hgstore.Condition{{Key: key, Version: oldVersion}}, Puts: []hgstore.Put{{Key: key, Value: value}},
	})
	return version, known, err
}

// readRow returns the present row of this node and its version; the zero Info if there is none or it describes no node.
func (n *Node) readRow(ctx context.Context) (i hgpeer.Info, version uint64, err error) {
	row, err := n.store.Get(ctx, nodeKey(n.cfg.VM.Name))
	if trace.IsNotFound(err) {
		return i, 0, nil
	}
	if err != nil {
		return i, 0, err
	}
	if i, err = decodeNode(row); err != nil {
		n.log.Warn("row of this node describes no node", "error", err)
		return hgpeer.Info{}, row.Version, nil
	}
	return i, row.Version, nil
}

// takesOver reports whether a node takes the place of the earlier process that wrote its row: all others have counted that one until now,
// and the address at which they may have found that it has ended is the node's own.
func takesOver(old, self hgpeer.Info) bool {
	wasCounted := !old.Joining || time.Since(time.UnixMilli(old.Registered)) > hgpeer.JoinTime
	return old.Boot != self.Boot && old.Peer == self.Peer && !old.Stopping && wasCounted
}

// markStopping records in the node's row that it stops, so that nodes that start later do not count it.
func (n *Node) markStopping() {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	if _, _, err := n.writeRow(ctx); err != nil {
		n.log.Info("stop not recorded in the row of this node", "error", err)
	}
}

// checkRow writes the node's row again if another node has removed it because this one seemed to be gone, or another writer has left
// what names no node in it.
func (n *Node) checkRow() {
	written := n.rowVersion.Load()
	s := n.watches[nodeTable].Snapshot()
	if written == 0 || s.Version < written || n.stopping.Load() {
		return
	}
	if row, ok := s.Rows[nodeKey(n.cfg.VM.Name)]; ok && row.Version >= written {
		if _, err := decodeNode(row); err == nil {
			return
		}
	}
	if !n.rowVersion.CompareAndSwap(written, 0) {
		return
	}
	n.log.Warn("row of this node was removed or overwritten; writing it again")
	n.members.LoseRow()
	go n.register(false)
}

// removeGone removes the rows of nodes that have been silent for long, so that they no longer count.
func (n *Node) removeGone(time.Duration) {
	gone := n.members.RowsToRemove()
	if len(gone) == 0 || !n.reach.ok() || n.stopping.Load() {
		return
	}
	rows := n.watches[nodeTable].Snapshot().Rows
	gone = lo.Filter(gone, func(i hgpeer.Info, _ int) bool {
		info, err := infoCodec.Decode(rows[nodeKey(i.Name)].Value)
		return err == nil && info == i
	})
	for _, batch := range lo.Chunk(gone, maxRemoved) {
		var txn hgstore.Txn
		for _, i := range batch {
			key := nodeKey(i.Name)
			txn.Conditions = append(txn.Conditions, hgstore.Condition{Key: key, Version: rows[key].Version})
			txn.Deletes = append(txn.Deletes, key)
		}
		ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
		_, err := n.store.Commit(ctx, txn)
		cancel()
		n.log.Info("rows of silent nodes removed", "nodes", lo.Map(batch, func(i hgpeer.Info, _ int) string { return i.Name }), "error", err)
	}
}
