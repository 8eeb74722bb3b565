package hgjournal

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"hyssopgrade/hgstore"
)

// VersionedRow is a shard's row with the version under which it was read; version 0 means that the row does not exist.
type VersionedRow struct {
	Shard   uint32
	Version uint64
	Row     ShardRow
}

// ReadRows returns the rows of all shards below n, in order; a row that does not exist has version 0.
func ReadRows(ctx context.Context, store hgstore.Table, n uint32) (rows []VersionedRow, err error) {
	defer func() { err = trace.Wrap(err, "read shard rows") }()
	rows = make([]VersionedRow, n)
	for i := range rows {
		rows[i].Shard = uint32(i)
	}
	found, err := store.Scan(ctx, ShardPrefix, "", int(n)+1)
	if err != nil {
		return nil, err
	}
	byKey := map[string]hgstore.Row{}
	for _, r := range found {
		byKey[r.Key] = r
	}
	for i := range rows {
		r, ok := byKey[ShardKey(uint32(i))]
		if !ok {
			continue
		}
		rows[i].Version = r.Version
		if rows[i].Row, err = ShardRowCodec.Decode(r.Value); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// Claim makes the node the owner of shards whose rows are still as seen, under raised epochs, and returns these; the rows
// of the others had changed. It attempts each set of shards once: if the outcome is unknown, it reads the rows and looks
// for its nonce.
func (c *Committer) Claim(ctx context.Context, node string, seen []VersionedRow) (won []VersionedRow, err error) {
	defer func() { err = trace.Wrap(err, "claim %d shards", len(seen)) }()
	nonce := uuid.NewString()
	for len(seen) > 0 {
		next, t, err := c.claimTxn(node, nonce, seen)
		if err != nil {
			return nil, err
		}
		version, err := c.store.Commit(ctx, t)
		keys, conflict := hgstore.IsConflict(err)
		switch {
		case err == nil:
			for i := range next {
				next[i].Version = version
			}
			return next, nil
		case !conflict:
			return c.findClaimed(ctx, nonce, next)
		}
		seen = withoutKeys(seen, keys)
	}
	return nil, nil
}

func (c *Committer) claimTxn(node, nonce string, seen []VersionedRow) (next []VersionedRow, t hgstore.Txn, err error) {
	c.mu.Lock()
	from := c.nextBatch
	c.mu.Unlock()
	for _, s := range seen {
		row := s.Row
		row.Epoch++
		row.Owner, row.Run, row.Nonce = node, c.run, nonce
		row.Writers = append(append([]Writer(nil), row.Writers...), Writer{Run: c.run, From: from})
		data, err := ShardRowCodec.Encode(row)
		if err != nil {
			return nil, t, err
		}
		key := ShardKey(s.Shard)
		t.Conditions = append(t.Conditions, hgstore.Condition{Key: key, Version: s.Version})
		t.Puts = append(t.Puts, hgstore.Put{Key: key, Value: data})
		next = append(next, VersionedRow{Shard: s.Shard, Row: row})
	}
	return next, t, nil
}

// findClaimed reads the rows of claimed shards and returns those that carry the nonce.
func (c *Committer) findClaimed(ctx context.Context, nonce string, next []VersionedRow) (won []VersionedRow, err error) {
	for _, s := range next {
		r, err := c.store.Get(ctx, ShardKey(s.Shard))
		if err != nil {
			return nil, err
		}
		row, err := ShardRowCodec.Decode(r.Value)
		if err != nil {
			return nil, err
		}
		if row.Nonce == nonce {
			won = append(won, VersionedRow{Shard: s.Shard, Version: r.Version, Row: row})
		}
	}
	return won, nil
}

// withoutKeys returns the rows whose keys are not listed.
func withoutKeys(seen []VersionedRow, keys []string) []VersionedRow {
	excluded := map[string]bool{}
	for _, k := range keys {
		excluded[k] = true
	}
	var rest []VersionedRow
	for _, s := range seen {
		if !excluded[ShardKey(s.Shard)] {
			rest = append(rest, s)
		}
	}
	return rest
}

// Hold starts committing for a claimed shard whose last durable record is n. It drops records that are still pending from
// an earlier hold of the shard.
func (c *Committer) Hold(claimed VersionedRow, n uint64) {
	c.dropShard(claimed.Shard)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[claimed.Shard] = &heldShard{row: claimed.Row, version: claimed.Version, appended: n, committed: n}
}

// Release clears the owners of shards in one transaction once all their records are durable. The result leaves out shards
// that turned out to have another owner.
func (c *Committer) Release(ctx context.Context, shards []uint32) (released []uint32, err error) {
	defer func() { err = trace.Wrap(err, "release %d shards", len(shards)) }()
	type outcome struct {
		released []uint32
		err      error
	}
	done := make(chan outcome, 1)
	op := func(run context.Context) {
		released, err := c.release(run, shards)
		done <- outcome{released, err}
	}
	select {
	case c.ops <- op:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case o := <-done:
		return o.released, o.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Committer) release(ctx context.Context, shards []uint32) (released []uint32, err error) {
	for !c.flushed(shards) && ctx.Err() == nil {
		c.flush(ctx)
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	rows := c.heldRows(shards)
	for i := range rows {
		rows[i].Row.Epoch++
		rows[i].Row.Owner, rows[i].Row.Run = "", ""
	}
	written, _, err := c.writeRows(ctx, rows)
	for _, r := range written {
		c.dropShard(r.Shard)
		released = append(released, r.Shard)
	}
	return released, err
}

// heldRows returns the rows of the listed shards that are held.
func (c *Committer) heldRows(shards []uint32) (rows []VersionedRow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range shards {
		if h := c.held[s]; h != nil {
			rows = append(rows, VersionedRow{Shard: s, Version: h.version, Row: h.row})
		}
	}
	return rows
}

// flushed reports whether all appended records of the shards are durable.
func (c *Committer) flushed(shards []uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range shards {
		if h := c.held[s]; h != nil && h.committed != h.appended {
			return false
		}
	}
	return true
}

// writeRows replaces the rows of held shards in one transaction. It returns the rows written and their new version; the
// shards of the other rows have another owner and are dropped as lost.
func (c *Committer) writeRows(ctx context.Context, rows []VersionedRow) (written []VersionedRow, version uint64, err error) {
	for len(rows) > 0 {
		nonce := uuid.NewString()
		t, err := rowsTxn(rows, nonce)
		if err != nil {
			return nil, 0, err
		}
		first := ShardKey(rows[0].Shard)
		conflicts, version, _, err := c.commitUntilKnown(ctx, t, func(ctx context.Context) (uint64, bool, error) {
			r, err := c.store.Get(ctx, first)
			if err != nil {
				return 0, false, err
			}
			current, err := ShardRowCodec.Decode(r.Value)
			return r.Version, err == nil && current.Nonce == nonce, err
		})
		if err != nil {
			return nil, 0, err
		}
		if len(conflicts) == 0 {
			return rows, version, nil
		}
		rows = c.dropConflicting(rows, conflicts)
	}
	return nil, 0, nil
}

func rowsTxn(rows []VersionedRow, nonce string) (t hgstore.Txn, err error) {
	for _, r := range rows {
		r.Row.Nonce = nonce
		data, err := ShardRowCodec.Encode(r.Row)
		if err != nil {
			return t, err
		}
		key := ShardKey(r.Shard)
		t.Conditions = append(t.Conditions, hgstore.Condition{Key: key, Version: r.Version})
		t.Puts = append(t.Puts, hgstore.Put{Key: key, Value: data})
	}
	return t, nil
}

// dropConflicting drops the shards whose rows have changed, reports them as lost, and returns the others.
func (c *Committer) dropConflicting(rows []VersionedRow, conflicts []string) []VersionedRow {
	rest := withoutKeys(rows, conflicts)
	for _, r := range rows {
		if !lo.ContainsBy(rest, func(s VersionedRow) bool { return s.Shard == r.Shard }) {
			c.dropShard(r.Shard)
			c.events.LostShard(r.Shard)
		}
	}
	return rest
}

// compactOne writes a segment for at most one shard, points the shard's row to it and deletes the previous segment.
// The row then needs only this run's batches from the number that was next before the snapshot was taken.
func (c *Committer) compactOne(ctx context.Context) {
	shard, h, from, ok := c.compactionCandidate()
	if !ok {
		return
	}
	data, last, ok := c.opts.snapshot(shard)
	if !ok {
		return
	}
	for !c.committedThrough(shard, last) && ctx.Err() == nil {
		c.flush(ctx)
	}
	row := h.row
	old := row.Segment
	row.Segment = segmentName(shard, row.Epoch, last)
	row.Writers = []Writer{{Run: c.run, From: from}}
	putCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := c.store.PutObject(putCtx, row.Segment, data); err != nil {
		return
	}
	written, version, err := c.writeRows(ctx, []VersionedRow{{Shard: shard, Version: h.version, Row: row}})
	if err != nil || len(written) == 0 {
		return
	}
	c.mu.Lock()
	h.row, h.version, h.uncompacted = row, version, 0
	c.mu.Unlock()
	if old != "" {
		_ = c.store.DeleteObject(putCtx, old)
	}
}

// compactionCandidate returns the held shard with the most records since its segment, if they are enough for a new one,
// and the next batch number.
func (c *Committer) compactionCandidate() (shard uint32, h *heldShard, from uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := c.opts.compactRecords - 1
	for s, v := range c.held {
		if v.uncompacted > most {
			shard, h, most = s, v, v.uncompacted
		}
	}
	return shard, h, c.nextBatch, h != nil
}

// committedThrough reports whether record n of a shard is durable; it is true too once the shard is no longer held.
func (c *Committer) committedThrough(shard uint32, n uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.held[shard]
	return h == nil || h.committed >= n
}
