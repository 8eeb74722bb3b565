package hgledger

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"hyssopgrade/hgstore"
)

// While the home partition of a new program is unreachable, the program's account fails over to an alternate partition.
// A marker row for the home partition, written before the first such account, tells all ledgers to look in the
// alternate partitions as well. Markers are never removed, as accounts are not moved back.

// MarkerPrefix is the prefix of the keys of marker rows. They are in a table that all nodes watch.
const MarkerPrefix = "hgnode//bypass-"

// failoverNotice is how long a ledger reports a failover in its heartbeats, as peers see the marker only about a second
// later.
const failoverNotice = 3 * time.Second

func markerKey(home int) string { return fmt.Sprintf("%s%02d", MarkerPrefix, home) }

// SetMarkers reads the markers among the rows of the watched table. The rows have to be all rows of that table.
func (l *Ledger) SetMarkers(rows map[string]hgstore.Row) {
	var exceeded []uint64
	for key := range rows {
		if digest, ok := excessDigest(key); ok {
			exceeded = append(exceeded, digest)
		}
		number, ok := strings.CutPrefix(key, MarkerPrefix)
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(number); err == nil && n >= 0 && n < numPartitions {
			l.failedOver[n].Store(true)
		}
	}
	l.AddKnownPrograms(exceeded, false)
	l.markersRead.Store(true)
}

// alternatePartition returns the i-th alternate of a home partition; the 0th is the home partition itself.
func alternatePartition(home, i int) int { return (home + i*stride) % numPartitions }

// failOver moves the account of a new program to an alternate partition while its home partition is unreachable. It
// reports whether the partition that holds the account afterwards counts as reachable.
func (l *Ledger) failOver(ctx context.Context, p *program, isNew bool) bool {
	if p.rowKnown || p.unsaved || len(p.copies) > 0 || p.partition() != homePartition(p.id) {
		return !l.committer.isUnreachable(p.partition())
	}
	if l.failedOver[p.partition()].Load() {
		if err := l.readAlternates(ctx, p); err != nil || p.rowKnown {
			return err == nil && !l.committer.isUnreachable(p.partition())
		}
	}
	if !l.isSoleHolder(ctx, p, isNew) || !l.writeMarker(ctx, p.partition()) {
		return false
	}
	for i := 1; i <= alternates; i++ {
		if alternate := alternatePartition(p.partition(), i); !l.committer.isUnreachable(alternate) {
			l.log.Info("account failed over to an alternate partition", "program", p.id, "home", p.partition(), "part", alternate)
			p.moveTo(alternate)
			l.reload(p, accountRow{}, 0, true)
			l.lastFailover.Store(int64(l.timer.Now()))
			return true
		}
	}
	return false
}

// writeMarker writes the marker of a home partition if there is none, and reports whether it is durable.
func (l *Ledger) writeMarker(ctx context.Context, home int) bool {
	if l.failedOver[home].Load() {
		return true
	}
	_, err := l.table.Commit(ctx, hgstore.Txn{Puts: []hgstore.Put{{Key: markerKey(home), Value: []byte(l.id)}}})
	if err != nil {
		l.log.Debug("failover marker not written", "part", home, "error", err)
		return false
	}
	l.failedOver[home].Store(true)
	return true
}

// readAlternates reads a program's account from the alternate partitions, and leaves p as it is if there is none.
func (l *Ledger) readAlternates(ctx context.Context, p *program) (err error) {
	defer func() { err = trace.Wrap(err, "read account of program %s in alternate partitions", p.id) }()
	home := homePartition(p.id)
	var found [alternates + 1]*hgstore.Row
	group, ctx := errgroup.WithContext(ctx)
	for i := 1; i <= alternates; i++ {
		group.Go(func() error {
			row, err := l.table.Get(ctx, accountKey(alternatePartition(home, i), p.id))
			if err == nil {
				found[i] = &row
			}
			if trace.IsNotFound(err) {
				return nil
			}
			return err
		})
	}
	err = group.Wait()
	for i, r := range found {
		if r == nil {
			continue
		}
		row, err := decodeAccount(r.Value)
		if err != nil {
			return err
		}
		p.moveTo(alternatePartition(home, i))
		l.reload(p, row, r.Version, true)
		return nil
	}
	return err
}

// failedOverRecently reports whether this ledger has moved an account to an alternate partition within failoverNotice.
func (l *Ledger) failedOverRecently() bool {
	at := time.Duration(l.lastFailover.Load())
	return at > 0 && l.timer.Now()-at < failoverNotice
}
