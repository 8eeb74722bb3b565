package hgledger

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"hyssopgrade/hgstore"
)

// maxDeletes bounds the rows that one transaction deletes. The store accepts up to 100 entries.
const maxDeletes = 90

// EvictUnused evicts programs that have not been used for the duration silent, which has to be longer than turns are
// retained. It deletes the rows of those whose account row it knows, unless another ledger has served them since. It
// returns the number of programs evicted and the number that stay because of an error.
func (l *Ledger) EvictUnused(ctx context.Context, silent time.Duration) (dropped, failed int) {
	before := l.timer.Now() - silent
	l.known.evict(before)
	l.asks.evict(before)
	return l.forEachProgram(func(p *program) (done bool, err error) {
		if !p.lock(ctx) {
			return false, ctx.Err()
		}
		defer p.unlock()
		if p.lastUsed >= before || p.unsaved || len(p.copies) > 0 {
			return false, nil
		}
		if err := l.removeRows(ctx, p); err != nil {
			return false, err
		}
		l.texts.size.Add(-p.textBytes)
		s := &l.shards[hash(p.id)%numShards]
		s.mu.Lock()
		delete(s.programs, p.id)
		s.mu.Unlock()
		return true, nil
	})
}

// removeRows deletes a program's account, and its turns in the home partition, if the account's row still has the known
// version. It deletes nothing if this ledger knows no account row.
func (l *Ledger) removeRows(ctx context.Context, p *program) (err error) {
	defer func() { err = trace.Wrap(err, "remove program %s", p.id) }()
	if !p.rowKnown || p.version == 0 {
		return nil
	}
	keys, err := storedKeys(p)
	if err != nil {
		return err
	}
	account := accountKey(p.partition(), p.id)
	_, err = l.table.Commit(ctx, hgstore.Txn{
		Conditions: []hgstore.Condition{{Key: account, Version: p.version}}, Deletes: []string{account},
	})
	if _, conflict := hgstore.IsConflict(err); conflict {
		return nil
	}
	if err != nil {
		return err
	}
	for _, batch := range lo.Chunk(keys, maxDeletes) {
		if _, err := l.table.Commit(ctx, hgstore.Txn{Deletes: batch}); err != nil {
			return err
		}
	}
	return nil
}
