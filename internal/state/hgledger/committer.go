package hgledger

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
)

const (
	// maxEntries and maxBytes bound a transaction. The store accepts up to 100 entries and 1 MB of text.
	maxEntries = 90
	maxBytes   = 600_000
	// maxDoublings bounds the exponential backoff while the store fails.
	maxDoublings = 3
)

// change is a set of writes that are applied atomically. It may be sent several times, so it has to be idempotent:
// either its conditions fail the second time, or it writes the same values again.
type change struct {
	conditions []hgstore.Condition
	puts       []hgstore.Put
	ctx        context.Context
	done       chan outcome
}

// outcome is the result of a change: the version of the rows that it wrote, or an error.
type outcome struct {
	version uint64
	err     error
}

// bytes returns the size of the values that the change writes.
func (ch change) bytes() (n int) {
	for _, p := range ch.puts {
		n += len(p.Value)
	}
	return n
}

// committer batches changes: those that arrive while a transaction of their partition is in flight share the next one. The
// store applies the transactions of a partition one after the other, so that more of them at once would only wait there.
type committer struct {
	table hgstore.Table
	timer hgtimer.Timer
	opts  options

	mu         sync.Mutex
	partitions [numPartitions]partition
	// duration is the moving average of the duration of transactions.
	duration time.Duration
}

// partition is the state of one partition of the store.
type partition struct {
	waiting []change
	// running says that a transaction is in flight.
	running bool
	// failures counts the consecutive failures of transactions; a failure without a reply counts twice. lastFailure is the
	// time of the last one.
	failures    int
	lastFailure time.Duration
}

// durationWeight is the weight of a new observation in the moving average of the duration of transactions.
const durationWeight = 0.2

// averageDuration returns the moving average of the duration of transactions.
func (c *committer) averageDuration() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.duration
}

const (
	// unreachableAfter is the number of consecutive failures after which a partition counts as unreachable.
	unreachableAfter = 2
	// commitTimeout bounds a transaction, which takes a few hundred milliseconds in a slow store. A failure that took
	// at least noReplyTime counts twice.
	commitTimeout = 700 * time.Millisecond
	noReplyTime   = 500 * time.Millisecond
	// probeAfter is the time after the last failure for which a partition counts as unreachable. Then it is tried
	// again.
	probeAfter = 700 * time.Millisecond
)

// isUnreachable reports whether a partition of the store counts as unreachable.
func (c *committer) isUnreachable(partition int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &c.partitions[partition]
	return p.failures >= unreachableAfter && c.timer.Now()-p.lastFailure < probeAfter
}

// record records the end of a transaction: decided means that it was applied or refused by a condition, not that it
// failed. It returns the number of consecutive failures before it.
func (c *committer) record(partition int, decided bool, took time.Duration) (failures int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &c.partitions[partition]
	failures = p.failures
	if decided || took > c.duration {
		c.duration += time.Duration(durationWeight * float64(took-c.duration))
	}
	if decided {
		p.failures = 0
		return failures
	}
	p.failures++
	if took >= noReplyTime {
		p.failures++
	}
	p.lastFailure = c.timer.Now()
	return failures
}

func newCommitter(table hgstore.Table, timer hgtimer.Timer, o options) *committer {
	return &committer{table: table, timer: timer, opts: o}
}

// within returns the change with the context that bounds it.
func (ch change) within(ctx context.Context) change {
	ch.ctx, ch.done = ctx, make(chan outcome, 1)
	return ch
}

// wait returns the outcome of a submitted change, or the context's error if that ends first.
func (ch change) wait() outcome {
	select {
	case o := <-ch.done:
		return o
	case <-ch.ctx.Done():
	}
	select {
	case o := <-ch.done:
		return o
	default:
		return outcome{err: ch.ctx.Err()}
	}
}

// commit applies a change and returns the version of the rows it wrote. It retries until the change is applied, a
// condition fails or the context ends. The changes beside it, which have contexts of their own, share its transaction if that
// has room for them; their outcomes are known no later than that of the change.
func (c *committer) commit(ctx context.Context, partition int, ch change, beside ...change) (version uint64, err error) {
	ch = ch.within(ctx)
	c.mu.Lock()
	p := &c.partitions[partition]
	p.waiting = append(append(p.waiting, beside...), ch)
	if !p.running {
		p.running = true
		go c.run(partition)
	}
	c.mu.Unlock()
	o := ch.wait()
	return o.version, o.err
}

// run applies the changes of a partition, batch by batch, until none are waiting.
func (c *committer) run(partition int) {
	for {
		batch := c.nextBatch(partition)
		if len(batch) == 0 {
			return
		}
		c.apply(partition, batch)
	}
}

// nextBatch removes the changes of the next transaction from the queue, and discards those whose context has ended.
func (c *committer) nextBatch(partition int) (batch []change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &c.partitions[partition]
	entries, bytes := 0, 0
	queue := p.waiting
	for len(queue) > 0 {
		ch := queue[0]
		if ch.ctx.Err() != nil {
			queue = queue[1:]
			continue
		}
		entries += len(ch.conditions) + len(ch.puts)
		bytes += ch.bytes()
		if len(batch) > 0 && (entries > maxEntries || bytes > maxBytes) {
			break
		}
		batch = append(batch, ch)
		queue = queue[1:]
	}
	p.waiting = queue
	p.running = len(batch) > 0
	return batch
}

// apply commits a batch as one transaction. Changes that were not applied are queued again, unless their conditions
// failed.
func (c *committer) apply(partition int, batch []change) {
	var t hgstore.Txn
	for _, ch := range batch {
		t.Conditions = append(t.Conditions, ch.conditions...)
		t.Puts = append(t.Puts, ch.puts...)
	}
	began := c.timer.Now()
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	version, err := c.table.Commit(ctx, t)
	conflict := conflictOf(err)
	failures := c.record(partition, err == nil || conflict != nil, c.timer.Now()-began)
	if err == nil {
		for _, ch := range batch {
			ch.done <- outcome{version: version}
		}
		return
	}
	if conflict != nil {
		c.requeue(partition, c.dropConflicts(batch, conflict, err))
		return
	}
	c.requeue(partition, batch)
	pause := c.opts.retryAfter << min(failures, maxDoublings)
	time.Sleep(pause/2 + rand.N(pause))
}

// dropConflicts completes the changes whose conditions failed with err, and returns the others.
func (c *committer) dropConflicts(batch []change, conflict *hgstore.ConflictError, err error) (rest []change) {
	present := map[string]uint64{}
	for _, r := range conflict.Rows {
		present[r.Key] = r.Version
	}
	for _, ch := range batch {
		failed := false
		for _, cond := range ch.conditions {
			failed = failed || present[cond.Key] != cond.Version
		}
		if failed {
			ch.done <- outcome{err: err}
		} else {
			rest = append(rest, ch)
		}
	}
	if len(rest) == len(batch) {
		// The reply does not tell which condition failed, so no change can be retried.
		for _, ch := range rest {
			ch.done <- outcome{err: err}
		}
		return nil
	}
	return rest
}

// requeue puts changes back at the head of the queue.
func (c *committer) requeue(partition int, batch []change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &c.partitions[partition]
	p.waiting = append(batch, p.waiting...)
}

// conflictOf returns the conflict that err reports, or nil.
func conflictOf(err error) *hgstore.ConflictError {
	var c *hgstore.ConflictError
	if errors.As(err, &c) {
		return c
	}
	return nil
}
