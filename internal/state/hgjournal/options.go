package hgjournal

import "time"

type options struct {
	perSecond       float64
	burst           int
	retryMin        time.Duration
	retryMax        time.Duration
	maxBatchRecords int
	compactRecords  int
	snapshot        func(shard uint32) (snap []byte, n uint64, ok bool)
}

// Option configures a Committer.
type Option func(o *options)

// WithRate limits the transactions per second on average; an idle committer may write a short burst without waiting.
func WithRate(perSecond float64) Option { return func(o *options) { o.perSecond = perSecond } }

// WithRetry sets the shortest and the longest backoff between attempts at one transaction.
func WithRetry(low, high time.Duration) Option {
	return func(o *options) { o.retryMin, o.retryMax = low, high }
}

// WithCompaction writes a segment of a shard after every n records. snapshot returns the shard's encoded state and the
// number of the last record in it, or false if the node has no such state.
func WithCompaction(n int, snapshot func(shard uint32) (data []byte, last uint64, ok bool)) Option {
	return func(o *options) { o.compactRecords, o.snapshot = n, snapshot }
}

func newOptions(opts []Option) options {
	o := options{
		perSecond:       40,
		burst:           8,
		retryMin:        20 * time.Millisecond,
		retryMax:        time.Second,
		maxBatchRecords: 2000,
		compactRecords:  1 << 30,
		snapshot:        func(uint32) ([]byte, uint64, bool) { return nil, 0, false },
	}
	for _, set := range opts {
		set(&o)
	}
	return o
}
