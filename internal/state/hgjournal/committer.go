package hgjournal

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/lo"
	"golang.org/x/time/rate"

	"hyssopgrade/hgprogram"
	"hyssopgrade/hgstore"
)

// Events receives the outcomes of a Committer's work; its methods must not block.
type Events interface {
	// Committed reports that all records of the shard up to n are durable.
	Committed(shard uint32, n uint64)
	// LostShard reports that the shard has another owner.
	LostShard(shard uint32)
	// CommitDone reports a finished transaction: the number of its records, the attempts and the duration.
	CommitDone(records, attempts int, took time.Duration)
}

// Committer writes the records of a node's shards in group commits, one transaction at a time.
// Its methods are safe for concurrent use; the transactions run in the goroutine of Run.
type Committer struct {
	store  hgstore.Store
	run    string
	opts   options
	events Events

	wake chan struct{}
	// ops are functions that Run executes between two batches.
	ops chan func(ctx context.Context)
	// rate limits the transactions on average; its burst lets an idle node commit at once.
	rate *rate.Limiter

	mu      sync.Mutex
	held    map[uint32]*heldShard
	pending []Entry
	// failingSince is the time of the first failure since the last success; zero while the store works.
	failingSince time.Time
	nextBatch    uint64
}

// heldShard is a shard that this node owns.
type heldShard struct {
	// row and version are those of the shard's row as last written.
	row     ShardRow
	version uint64
	// appended and committed are the numbers of the last record queued and of the last durable one.
	appended  uint64
	committed uint64
	// uncompacted counts the records committed since the last segment.
	uncompacted int
}

// NewCommitter returns a committer for one run of a node. The run's name must never be used again, because it is part of
// the keys of the run's batches.
func NewCommitter(store hgstore.Store, run string, events Events, opts ...Option) *Committer {
	o := newOptions(opts)
	return &Committer{
		store: store, run: run, opts: o, events: events, rate: rate.NewLimiter(rate.Limit(o.perSecond), o.burst),
		held: map[uint32]*heldShard{}, wake: make(chan struct{}, 1), ops: make(chan func(context.Context)), nextBatch: 1,
	}
}

// Append queues records of a shard; the records of one shard must be appended in order. It drops records of a shard
// that is not held under the epoch, because they can never become durable.
func (c *Committer) Append(shard uint32, epoch uint64, recs []hgprogram.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.held[shard]
	if h == nil || h.row.Epoch != epoch || len(recs) == 0 {
		return
	}
	h.appended = recs[len(recs)-1].N
	c.pending = append(c.pending, Entry{Shard: shard, Records: recs})
	c.signal()
}

func (c *Committer) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// SetRate changes the limit on transactions per second.
func (c *Committer) SetRate(perSecond float64) { c.rate.SetLimit(rate.Limit(perSecond)) }

// FailingFor returns the time since the first failed commit after the last success; 0 means that the store works.
func (c *Committer) FailingFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failingSince.IsZero() {
		return 0
	}
	return time.Since(c.failingSince)
}

// Run commits appended records until ctx ends.
func (c *Committer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case op := <-c.ops:
			op(ctx)
			continue
		case <-c.wake:
		}
		if c.rate.Wait(ctx) != nil {
			return
		}
		c.flush(ctx)
		c.compactOne(ctx)
	}
}

// flush commits one batch of the pending records.
func (c *Committer) flush(ctx context.Context) {
	if entries := c.takePending(); len(entries) > 0 {
		c.commit(ctx, entries)
	}
}

// takePending removes pending entries up to the size of one batch and returns them merged by shard.
// It drops entries of shards that are no longer held.
func (c *Committer) takePending() []Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	index := map[uint32]int{}
	var entries []Entry
	n, records := 0, 0
	for ; n < len(c.pending) && records < c.opts.maxBatchRecords; n++ {
		e := c.pending[n]
		h := c.held[e.Shard]
		if h == nil {
			continue
		}
		i, ok := index[e.Shard]
		if !ok {
			i = len(entries)
			index[e.Shard] = i
			entries = append(entries, Entry{Shard: e.Shard, version: h.version})
		}
		entries[i].Records = append(entries[i].Records, e.Records...)
		records += len(e.Records)
	}
	c.pending = c.pending[n:]
	if len(c.pending) > 0 {
		c.signal()
	}
	return entries
}

// commit makes entries durable: it retries under new batch numbers until every entry is committed or its shard is lost,
// or until ctx ends.
func (c *Committer) commit(ctx context.Context, entries []Entry) {
	for len(entries) > 0 && ctx.Err() == nil {
		n := c.nextBatchNumber()
		lost, err := c.commitBatch(ctx, n, entries)
		if err != nil {
			return
		}
		if len(lost) == 0 {
			c.markCommitted(n, entries)
			return
		}
		entries = c.dropLost(entries, lost)
	}
}

func (c *Committer) nextBatchNumber() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nextBatch
	c.nextBatch++
	return n
}

// commitBatch writes batch n. If shards have another owner, the batch is not written and these shards are returned as lost.
func (c *Committer) commitBatch(ctx context.Context, n uint64, entries []Entry) (lost map[uint32]bool, err error) {
	defer func() { err = trace.Wrap(err, "commit batch %d of run %q", n, c.run) }()
	data, err := BatchCodec.Encode(Batch{Entries: entries})
	if err != nil {
		return nil, err
	}
	t := hgstore.Txn{Puts: []hgstore.Put{{Key: batchKey(c.run, n), Value: data}}}
	t.Conditions = append(t.Conditions, hgstore.Condition{Key: batchKey(c.run, n)})
	shards := map[string]uint32{}
	for _, e := range entries {
		shards[ShardKey(e.Shard)] = e.Shard
		t.Conditions = append(t.Conditions, hgstore.Condition{Key: ShardKey(e.Shard), Version: e.version})
	}
	start := time.Now()
	conflicts, _, attempts, err := c.commitUntilKnown(ctx, t, func(ctx context.Context) (uint64, bool, error) {
		return c.rowVersion(ctx, batchKey(c.run, n))
	})
	if err != nil {
		return nil, err
	}
	c.events.CommitDone(countRecords(entries), attempts, time.Since(start))
	lost = map[uint32]bool{}
	for _, k := range conflicts {
		lost[shards[k]] = true
	}
	return lost, nil
}

// commitUntilKnown retries t until its outcome is known. If an attempt after the first meets a conflict, an earlier one
// whose reply was lost may have caused it: checkApplied then reports whether an earlier attempt was applied, and the
// version of the row it wrote.
func (c *Committer) commitUntilKnown(ctx context.Context, t hgstore.Txn, checkApplied func(ctx context.Context) (uint64, bool, error)) (conflicts []string, version uint64, attempts int, err error) {
	wait := c.opts.retryMin
	for attempts = 1; ; attempts++ {
		version, err = c.store.Commit(ctx, t)
		keys, conflict := hgstore.IsConflict(err)
		if conflict {
			err = nil
		}
		if conflict && attempts > 1 {
			var applied bool
			version, applied, err = checkApplied(ctx)
			conflict = !applied
		}
		if err == nil {
			c.setFailing(false)
			if !conflict {
				keys = nil
			}
			return keys, version, attempts, nil
		}
		c.setFailing(true)
		select {
		case <-ctx.Done():
			return nil, 0, attempts, ctx.Err()
		case <-time.After(wait):
		}
		wait = min(2*wait, c.opts.retryMax)
	}
}

// rowVersion returns the version of a row and whether the row exists.
func (c *Committer) rowVersion(ctx context.Context, key string) (version uint64, ok bool, err error) {
	row, err := c.store.Get(ctx, key)
	if trace.IsNotFound(err) {
		return 0, false, nil
	}
	return row.Version, err == nil, err
}

func (c *Committer) setFailing(failing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !failing:
		c.failingSince = time.Time{}
	case c.failingSince.IsZero():
		c.failingSince = time.Now()
	}
}

func countRecords(entries []Entry) int {
	n := 0
	for _, e := range entries {
		n += len(e.Records)
	}
	return n
}

// markCommitted records that the entries of batch n are durable and reports them.
func (c *Committer) markCommitted(n uint64, entries []Entry) {
	c.mu.Lock()
	for _, e := range entries {
		h := c.held[e.Shard]
		if h == nil {
			continue
		}
		h.committed = e.Records[len(e.Records)-1].N
		h.uncompacted += len(e.Records)
	}
	c.mu.Unlock()
	for _, e := range entries {
		c.events.Committed(e.Shard, e.Records[len(e.Records)-1].N)
	}
}

// dropLost stops committing for lost shards, reports them, and returns the entries of the others.
func (c *Committer) dropLost(entries []Entry, lost map[uint32]bool) []Entry {
	var rest []Entry
	for _, e := range entries {
		if !lost[e.Shard] {
			rest = append(rest, e)
			continue
		}
		c.dropShard(e.Shard)
		c.events.LostShard(e.Shard)
	}
	return rest
}

// dropShard stops committing for a shard and discards its pending records.
func (c *Committer) dropShard(shard uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.held, shard)
	c.pending = lo.Reject(c.pending, func(e Entry, _ int) bool { return e.Shard == shard })
}
