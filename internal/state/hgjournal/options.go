package hgjournal

import "time"

type options struct {
	perSecond      float64
	burst          int
	retryMin       time.Duration
	retryMax       time.Duration
	maxRecords     int
	compactRecords int
	snapshot       func(shard uint32) (snap []byte, n uint64, ok bool)
}

// Option sets up a Committer.
type Option func(o *options)

// WithRate sets the most transactions per second over time; an idle committer lets a few through at once.
func WithRate(perSecond float64) Option { return func(o *options) { o.perSecond = perSecond } }

// WithRetry sets the bounds of the waits between tries of one transaction.
func WithRetry(low, high time.Duration) Option {
	return func(o *options) { o.retryMin, o.retryMax = low, high }
}

// WithCompaction writes a segment for a shard after every n records, from the encoded state that snapshot returns.
func WithCompaction(n int, snapshot func(shard uint32) (data []byte, last uint64, ok bool)) Option {
	return func(o *options) { o.compactRecords, o.snapshot = n, snapshot }
}

func newOptions(opts []Option) options {
	o := options{
		perSecond:      40,
		burst:          8,
		retryMin:       20 * time.Millisecond,
		retryMax:       time.Second,
		maxRecords:     2000,
		compactRecords: 1 << 30,
		snapshot:       func(uint32) ([]byte, uint64, bool) { return nil, 0, false },
	}
	for _, set := range opts {
		set(&o)
	}
	return o
}
