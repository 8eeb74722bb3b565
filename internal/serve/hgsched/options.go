package hgsched

import (
	"io"
	"log/slog"
	"time"
)

// defaultSubset is the number of endpoints per target that one node uses.
const defaultSubset = 50

type options struct {
	log    *slog.Logger
	now    func() time.Duration
	subset int
}

// Option sets up a Scheduler.
type Option func(o *options)

// WithLog sets the logger of placement decisions.
func WithLog(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithNow sets the clock.
func WithNow(now func() time.Duration) Option { return func(o *options) { o.now = now } }

// WithSubset bounds the endpoints per target that the node uses.
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
