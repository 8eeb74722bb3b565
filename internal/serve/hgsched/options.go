package hgsched

import (
	"io"
	"log/slog"
	"time"
)

// defaultSubset is the maximum number of endpoints per target that one node uses.
const defaultSubset = 50

type options struct {
	log    *slog.Logger
	now    func() time.Duration
	subset int
}

// Option configures a Scheduler.
type Option func(o *options)

// WithLog sets the logger of granted and refused requests; without it they are not logged.
func WithLog(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithNow sets the monotonic clock; the default counts from NewScheduler on.
func WithNow(now func() time.Duration) Option { return func(o *options) { o.now = now } }

// WithSubset sets the maximum number of endpoints per target that the node uses.
func WithSubset(n int) Option { return func(o *options) { o.subset = n } }

func newOptions(opts []Option) options {
	start := time.Now()
	o := options{
		log:    slog.New(slog.NewTextHandler(io.Discard, nil)),
		now:    func() time.Duration { return time.Since(start) },
		subset: defaultSubset,
	}
	for _, set := range opts {
		set(&o)
	}
	return o
}
