package hgjournal

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"hyssopgrade/hgprogram"
	"hyssopgrade/hgstore"
)

// scanPageSize is the number of batch rows that one scan reads.
const scanPageSize = 200

// Recover rebuilds the state of claimed shards from their segments and batches. It reads the batches of each writer once
// for all shards.
func Recover(ctx context.Context, store hgstore.Store, claimed []VersionedRow, now time.Duration) (states map[uint32]*hgprogram.Shard, err error) {
	defer func() { err = trace.Wrap(err, "recover %d shards", len(claimed)) }()
	states = map[uint32]*hgprogram.Shard{}
	firstBatch := map[string]uint64{}
	for _, s := range claimed {
		if states[s.Shard], err = readSegment(ctx, store, s.Row.Segment, now); err != nil {
			return nil, err
		}
		for _, w := range s.Row.Writers {
			if old, ok := firstBatch[w.Run]; !ok || w.From < old {
				firstBatch[w.Run] = w.From
			}
		}
	}
	records := map[uint32][]hgprogram.Record{}
	for run, n := range firstBatch {
		if err := readBatches(ctx, store, run, n, states, records); err != nil {
			return nil, err
		}
	}
	for shard, recs := range records {
		slices.SortFunc(recs, func(a, b hgprogram.Record) int { return int(int64(a.N) - int64(b.N)) })
		for _, r := range recs {
			if err := states[shard].Apply(r, now); err != nil {
				return nil, trace.Wrap(err, "apply records of shard %d", shard)
			}
		}
	}
	return states, nil
}

func readSegment(ctx context.Context, store hgstore.Store, name string, now time.Duration) (s *hgprogram.Shard, err error) {
	s = hgprogram.NewShard()
	if name == "" {
		return s, nil
	}
	data, err := store.Object(ctx, name)
	if err != nil {
		return nil, err
	}
	snap, err := SnapshotCodec.Decode(data)
	if err != nil {
		return nil, err
	}
	return s, s.Restore(snap, now)
}

// readBatches reads the batches of one run from number n on and adds the records of the wanted shards to records.
func readBatches(ctx context.Context, store hgstore.Table, run string, n uint64, wanted map[uint32]*hgprogram.Shard, records map[uint32][]hgprogram.Record) (err error) {
	prefix := BatchPrefix + run + "/"
	cursor := batchKey(run, n-1)
	for {
		rows, err := store.Scan(ctx, prefix, cursor, scanPageSize)
		if err != nil {
			return err
		}
		for _, r := range rows {
			cursor = r.Key
			b, err := BatchCodec.Decode(r.Value)
			if err != nil {
				return trace.Wrap(err, "decode batch row %q", r.Key)
			}
			for _, e := range b.Entries {
				if wanted[e.Shard] != nil {
					records[e.Shard] = append(records[e.Shard], e.Records...)
				}
			}
		}
		if len(rows) < scanPageSize {
			return nil
		}
	}
}

// CollectGarbage looks at up to limit batch rows, deletes those that no shard row refers to, and returns their number.
// It lists the batches before it reads the shard rows: shard rows can lose references to a listed batch but gain none.
func CollectGarbage(ctx context.Context, store hgstore.Table, shards uint32, limit int) (n int, err error) {
	defer func() { err = trace.Wrap(err, "delete unreferenced batch rows") }()
	batches, err := store.Scan(ctx, BatchPrefix, "", limit)
	if err != nil || len(batches) == 0 {
		return 0, err
	}
	rows, err := ReadRows(ctx, store, shards)
	if err != nil {
		return 0, err
	}
	firstBatch := map[string]uint64{}
	for _, s := range rows {
		for _, w := range s.Row.Writers {
			if old, ok := firstBatch[w.Run]; !ok || w.From < old {
				firstBatch[w.Run] = w.From
			}
		}
	}
	var t hgstore.Txn
	for _, b := range batches {
		run, _, _ := strings.Cut(strings.TrimPrefix(b.Key, BatchPrefix), "/")
		if first, ok := firstBatch[run]; !ok || b.Key < batchKey(run, first) {
			t.Deletes = append(t.Deletes, b.Key)
		}
	}
	if len(t.Deletes) == 0 {
		return 0, nil
	}
	_, err = store.Commit(ctx, t)
	return len(t.Deletes), err
}
