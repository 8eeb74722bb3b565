package hgentryvm

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/state/hgledger"
)

// decodeNode decodes the row of a node. A row that no node can have written is an error, as the nodes in the table count towards
// the majority.
func decodeNode(row hgstore.Row) (i hgpeer.Info, err error) {
	defer func() { err = trace.Wrap(err, "row %q", row.Key) }()
	if i, err = infoCodec.Decode(row.Value); err != nil {
		return i, err
	}
	if i.Name == "" || row.Key != nodeKey(i.Name) {
		return i, trace.BadParameter("row of a node named %q", i.Name)
	}
	if i.Boot == "" || i.Started <= 0 {
		return i, trace.BadParameter("no start of a process")
	}
	for _, address := range []string{i.Peer, i.Public} {
		host, port, err := net.SplitHostPort(address)
		if n, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil || n == 0 || host == "" {
			return i, trace.BadParameter("address %q", address)
		}
	}
	return i, nil
}

// maxDeletedRows bounds the rows that one transaction deletes; the store accepts 100 entries.
const maxDeletedRows = 50

// deleteOldRows deletes the rows of nodeTable that describe suspects or exceeded budgets and no longer count, at the VM that comes first
// by name among the live ones.
func (n *Node) deleteOldRows() {
	if live := n.members.Live(); len(live) > 0 && live[0].Name < n.cfg.VM.Name {
		return
	}
	now := time.Now()
	old := lo.Keys(lo.PickBy(n.watches[nodeTable].Snapshot().Rows, func(_ string, row hgstore.Row) bool {
		return isOldSuspect(row, now) || hgledger.IsExcessOld(row, now, n.retention.duration())
	}))
	for _, keys := range lo.Chunk(old, maxDeletedRows) {
		ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
		_, err := n.store.Commit(ctx, hgstore.Txn{Deletes: keys})
		cancel()
		n.log.Info("old suspects and markers deleted", "rows", len(keys), "error", err)
		if err != nil {
			return
		}
	}
}
