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

// Events receives what a Committer did; its methods must not block.
type Events interface {
	// Committed tells that all records of the shard up to n are durable.
	Committed(shard uint32, n uint64)
	// LostShard tells that the shard has another owner.
	LostShard(shard uint32)
	// CommitDone reports each transaction: how many records, how many tries and how long.
	CommitDone(records, tries int, took time.Duration)
}

// Committer writes the records of a node's shards in group commits, one transaction at a time.
type Committer struct {
	store  hgstore.Store
	run    string
	opts   options
	events Events

	wake chan struct{}
	ops  chan func(ctx context.Context)
	// rate bounds the transactions over time and lets an idle node's first ones through at once.
	rate *rate.Limiter

	mu      sync.Mutex
	held    map[uint32]*heldShard
	pending []Entry
	failing time.Time
	next    uint64
}

// heldShard is a shard that this node owns: its row as last written and the batches that hold its records.
type heldShard struct {
	row       ShardRow
	version   uint64
	appended  uint64
	committed uint64
	uncompact int
}

// NewCommitter returns a committer for one run of a node; the run's name must never be used again.
func NewCommitter(store hgstore.Store, run string, events Events, opts ...Option) *Committer {
	o := newOptions(opts)
	return &Committer{
		store: store, run: run, opts: o, events: events, rate: rate.NewLimiter(rate.Limit(o.perSecond), o.burst),
		held: map[uint32]*heldShard{}, wake: make(chan struct{}, 1), ops: make(chan func(context.Context)), next: 1,
	}
}

// Append queues records of a shard held under epoch; records of one shard must come in order.
// Records for a shard that is not held under that epoch are dropped, since they can never be durable.
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

// SetRate changes the most transactions per second.
func (c *Committer) SetRate(perSecond float64) { c.rate.SetLimit(rate.Limit(perSecond)) }

// FailingFor returns how long commits have failed without a success; 0 means the store works.
func (c *Committer) FailingFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failing.IsZero() {
		return 0
	}
	return time.Since(c.failing)
}

// Run commits until ctx ends.
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

// flush commits one batch of what is pending.
func (c *Committer) flush(ctx context.Context) {
	if entries := c.take(); len(entries) > 0 {
		c.commit(ctx, entries)
	}
}

// take removes pending entries up to the size of one batch, merged by shard, and drops those of shards not held.
func (c *Committer) take() []Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	index := map[uint32]int{}
	var entries []Entry
	n, records := 0, 0
	for ; n < len(c.pending) && records < c.opts.maxRecords; n++ {
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

// commit makes entries durable; it goes on until each entry is committed or its shard is lost.
func (c *Committer) commit(ctx context.Context, entries []Entry) {
	for len(entries) > 0 && ctx.Err() == nil {
		n := c.takeNumber()
		lost, err := c.commitBatch(ctx, n, entries)
		if err != nil {
			return
		}
		if len(lost) == 0 {
			c.settle(n, entries)
			return
		}
		entries = c.drop(entries, lost)
	}
}

func (c *Committer) takeNumber() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.next
	c.next++
	return n
}

// commitBatch writes batch n; lost are the shards on whose account it was certainly not written.
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
	conflicts, _, tries, err := c.write(ctx, t, func(ctx context.Context) (uint64, bool, error) {
		return c.written(ctx, batchKey(c.run, n))
	})
	if err != nil {
		return nil, err
	}
	c.events.CommitDone(countRecords(entries), tries, time.Since(start))
	lost = map[uint32]bool{}
	for _, k := range conflicts {
		lost[shards[k]] = true
	}
	return lost, nil
}

// write commits t until the outcome is certain. After a conflict that follows an ambiguous try,
// mine tells whether the earlier try was applied, and the version of what it wrote.
func (c *Committer) write(ctx context.Context, t hgstore.Txn, mine func(ctx context.Context) (uint64, bool, error)) (conflicts []string, version uint64, tries int, err error) {
	wait := c.opts.retryMin
	for tries = 1; ; tries++ {
		version, err = c.store.Commit(ctx, t)
		keys, conflict := hgstore.IsConflict(err)
		if conflict {
			err = nil
		}
		if conflict && tries > 1 {
			var applied bool
			version, applied, err = mine(ctx)
			conflict = !applied
		}
		if err == nil {
			c.setFailing(false)
			if !conflict {
				keys = nil
			}
			return keys, version, tries, nil
		}
		c.setFailing(true)
		select {
		case <-ctx.Done():
			return nil, 0, tries, ctx.Err()
		case <-time.After(wait):
		}
		wait = min(2*wait, c.opts.retryMax)
	}
}

// written returns the version of a row and whether it exists.
func (c *Committer) written(ctx context.Context, key string) (version uint64, ok bool, err error) {
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
		c.failing = time.Time{}
	case c.failing.IsZero():
		c.failing = time.Now()
	}
}

func countRecords(entries []Entry) int {
	n := 0
	for _, e := range entries {
		n += len(e.Records)
	}
	return n
}

// settle notes that batch n is durable.
func (c *Committer) settle(n uint64, entries []Entry) {
	c.mu.Lock()
	for _, e := range entries {
		h := c.held[e.Shard]
		if h == nil {
			continue
		}
		h.committed = e.Records[len(e.Records)-1].N
		h.uncompact += len(e.Records)
	}
	c.mu.Unlock()
	for _, e := range entries {
		c.events.Committed(e.Shard, e.Records[len(e.Records)-1].N)
	}
}

// drop forgets lost shards and returns the entries of the others.
func (c *Committer) drop(entries []Entry, lost map[uint32]bool) []Entry {
	var rest []Entry
	for _, e := range entries {
		if !lost[e.Shard] {
			rest = append(rest, e)
			continue
		}
		c.forget(e.Shard)
		c.events.LostShard(e.Shard)
	}
	return rest
}

// forget drops a shard and its pending records.
func (c *Committer) forget(shard uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.held, shard)
	c.pending = lo.Reject(c.pending, func(e Entry, _ int) bool { return e.Shard == shard })
}
