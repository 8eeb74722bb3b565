package hgjournal

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"hyssopgrade/hgstore"
)

// SeenRow is a shard's row as it was read; Version 0 means that the row does not exist.
type SeenRow struct {
	Shard   uint32
	Version uint64
	Row     ShardRow
}

// ReadRows returns the rows of all shards below n.
func ReadRows(ctx context.Context, store hgstore.Table, n uint32) (rows []SeenRow, err error) {
	defer func() { err = trace.Wrap(err, "read shard rows") }()
	rows = make([]SeenRow, n)
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

// Claim takes the shards as they were seen, raising their epochs, and returns those won; the others had changed.
// It makes one try per set of shards: on an ambiguous outcome it reads the rows and looks for its nonce.
func (c *Committer) Claim(ctx context.Context, node string, seen []SeenRow) (won []SeenRow, err error) {
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
		seen = without(seen, keys)
	}
	return nil, nil
}

func (c *Committer) claimTxn(node, nonce string, seen []SeenRow) (next []SeenRow, t hgstore.Txn, err error) {
	c.mu.Lock()
	from := c.next
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
		next = append(next, SeenRow{Shard: s.Shard, Row: row})
	}
	return next, t, nil
}

// findClaimed returns the shards whose rows carry the nonce.
func (c *Committer) findClaimed(ctx context.Context, nonce string, next []SeenRow) (won []SeenRow, err error) {
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
			won = append(won, SeenRow{Shard: s.Shard, Version: r.Version, Row: row})
		}
	}
	return won, nil
}

func without(seen []SeenRow, keys []string) []SeenRow {
	failed := map[string]bool{}
	for _, k := range keys {
		failed[k] = true
	}
	var rest []SeenRow
	for _, s := range seen {
		if !failed[ShardKey(s.Shard)] {
			rest = append(rest, s)
		}
	}
	return rest
}

// Hold starts committing for a claimed shard whose last durable record is n; records pending from an earlier hold are dropped.
func (c *Committer) Hold(claimed SeenRow, n uint64) {
	c.forget(claimed.Shard)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[claimed.Shard] = &heldShard{row: claimed.Row, version: claimed.Version, appended: n, committed: n}
}

// Release gives a shard up once all its records are durable; its row then has no owner.
func (c *Committer) Release(ctx context.Context, shard uint32) (err error) {
	defer func() { err = trace.Wrap(err, "release shard %d", shard) }()
	done := make(chan error, 1)
	op := func(run context.Context) { done <- c.release(run, shard) }
	select {
	case c.ops <- op:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Committer) release(ctx context.Context, shard uint32) (err error) {
	for !c.flushed(shard) && ctx.Err() == nil {
		c.flush(ctx)
	}
	c.mu.Lock()
	h := c.held[shard]
	c.mu.Unlock()
	if h == nil {
		return Lost{Shard: shard}
	}
	row := h.row
	row.Epoch++
	row.Owner, row.Run = "", ""
	if _, err := c.writeRow(ctx, shard, h.version, row); err != nil {
		return err
	}
	c.forget(shard)
	return nil
}

func (c *Committer) flushed(shard uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.held[shard]
	return h == nil || h.committed == h.appended
}

// writeRow replaces a held shard's row and returns its new version; a conflict is a Lost error.
func (c *Committer) writeRow(ctx context.Context, shard uint32, version uint64, row ShardRow) (next uint64, err error) {
	row.Nonce = uuid.NewString()
	data, err := ShardRowCodec.Encode(row)
	if err != nil {
		return 0, err
	}
	key := ShardKey(shard)
	t := hgstore.Txn{
		Conditions: []hgstore.Condition{{Key: key, Version: version}},
		Puts:       []hgstore.Put{{Key: key, Value: data}},
	}
	conflicts, next, _, err := c.write(ctx, t, func(ctx context.Context) (uint64, bool, error) {
		r, err := c.store.Get(ctx, key)
		if err != nil {
			return 0, false, err
		}
		now, err := ShardRowCodec.Decode(r.Value)
		return r.Version, err == nil && now.Nonce == row.Nonce, err
	})
	if err != nil {
		return 0, err
	}
	if len(conflicts) > 0 {
		c.forget(shard)
		c.events.LostShard(shard)
		return 0, Lost{Shard: shard}
	}
	return next, nil
}

// compactOne writes a segment for one shard that has enough records for it.
func (c *Committer) compactOne(ctx context.Context) {
	shard, h, from, ok := c.due()
	if !ok {
		return
	}
	data, last, ok := c.opts.snapshot(shard)
	if !ok {
		return
	}
	for !c.reached(shard, last) && ctx.Err() == nil {
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
	version, err := c.writeRow(ctx, shard, h.version, row)
	if err != nil {
		return
	}
	c.mu.Lock()
	h.row, h.version, h.uncompact = row, version, 0
	c.mu.Unlock()
	if old != "" {
		_ = c.store.DeleteObject(putCtx, old)
	}
}

// due returns the held shard with the most records since its segment, if these are enough, and the next batch number.
func (c *Committer) due() (shard uint32, h *heldShard, from uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := c.opts.compactRecords - 1
	for s, v := range c.held {
		if v.uncompact > most {
			shard, h, most = s, v, v.uncompact
		}
	}
	return shard, h, c.next, h != nil
}

func (c *Committer) reached(shard uint32, n uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.held[shard]
	return h == nil || h.committed >= n
}
