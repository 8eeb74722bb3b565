package hghedge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"hyssopgrade/hgstore"
)

const (
	// minHedgeDelay is the least time after which an operation without an answer is sent again; a write takes about 10 ms.
	minHedgeDelay = 60 * time.Millisecond
	// latencyFactor is that time as a multiple of the average latency, so that a slow store does not get more calls.
	latencyFactor = 3
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.2
	// maxSends bounds how often one operation is sent, the first send included.
	maxSends = 4
	// maxErrors bounds the errors after which an operation is sent again. A store that returns an error at once usually
	// goes on to do so.
	maxErrors = 1
	// errorRetryDelay is the time between an error and the next attempt.
	errorRetryDelay = 20 * time.Millisecond
)

// Table is a table whose operations are sent again when an answer is late or lost. A transaction must therefore be
// idempotent or carry conditions on versions. One with conditions may return a conflict although it was applied: by an
// earlier attempt whose answer was lost.
type Table struct {
	inner hgstore.Table
	// latency is the moving average of the time that operations take, in nanoseconds.
	latency atomic.Int64
}

// NewTable returns a table that sends its operations to inner.
func NewTable(inner hgstore.Table) *Table { return &Table{inner: inner} }

// Get returns one row, or a trace.NotFound error.
func (t *Table) Get(ctx context.Context, key string) (row hgstore.Row, err error) {
	return hedge(ctx, t, func(ctx context.Context) (hgstore.Row, error) { return t.inner.Get(ctx, key) })
}

// Scan returns up to limit rows with the prefix, in key order, after the key `after`.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) (rows []hgstore.Row, err error) {
	return hedge(ctx, t, func(ctx context.Context) ([]hgstore.Row, error) { return t.inner.Scan(ctx, prefix, after, limit) })
}

// Commit applies a transaction, possibly more than once, and returns the version of the rows it wrote.
func (t *Table) Commit(ctx context.Context, txn hgstore.Txn) (version uint64, err error) {
	return hedge(ctx, t, func(ctx context.Context) (uint64, error) { return t.inner.Commit(ctx, txn) })
}

// isFinal says whether err is the store's answer to an operation: success, a conflict or a missing row. Any other error
// leaves open whether the operation was applied.
func isFinal(err error) bool {
	_, conflict := hgstore.IsConflict(err)
	return err == nil || conflict || trace.IsNotFound(err)
}

// hedgeDelay returns how long to wait for an answer after a number of sends before the next one; it doubles with each send.
func (t *Table) hedgeDelay(sends int) time.Duration {
	return max(minHedgeDelay, latencyFactor*time.Duration(t.latency.Load())) << (sends - 1)
}

// observe adds the latency of an operation to the average.
func (t *Table) observe(took time.Duration) {
	latency := t.latency.Load()
	t.latency.Store(latency + int64(latencyWeight*float64(int64(took)-latency)))
}

// observeAtLeast takes account of an operation that has had no answer for a time. In a store that has become slow, the first
// answers come long after the first operations were sent again.
func (t *Table) observeAtLeast(waited time.Duration) {
	if waited > time.Duration(t.latency.Load()) {
		t.observe(waited)
	}
}

// hedge runs an operation, starts it again when its answer is late or an error, and returns the first final answer. The
// other attempts are cancelled.
func hedge[R any](ctx context.Context, t *Table, run func(ctx context.Context) (R, error)) (result R, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		result R
		err    error
	}
	answers := make(chan answer, maxSends)
	sends, inFlight, errs := 0, 0, 0
	send := func() {
		sends++
		inFlight++
		began := time.Now()
		go func() {
			result, err := run(ctx)
			if isFinal(err) {
				t.observe(time.Since(began))
			}
			answers <- answer{result, err}
		}()
	}
	began := time.Now()
	send()
	nextSend := time.NewTimer(t.hedgeDelay(sends))
	defer nextSend.Stop()
	for {
		select {
		case a := <-answers:
			inFlight--
			if isFinal(a.err) {
				return a.result, a.err
			}
			err = a.err
			errs++
			switch {
			case errs <= maxErrors && sends < maxSends && ctx.Err() == nil:
				nextSend.Reset(errorRetryDelay)
			case inFlight == 0:
				return result, err
			}
		case <-nextSend.C:
			t.observeAtLeast(time.Since(began))
			if sends < maxSends {
				send()
				nextSend.Reset(t.hedgeDelay(sends))
			}
		case <-ctx.Done():
			return result, ctx.Err()
		}
	}
}

// String returns the name of this implementation.
func (t *Table) String() string { return "hedged" }
