package hgledger

import (
	"time"

	"hyssopgrade/internal/state/hgreach"
)

// retryAfter is the base pause before a failed write is retried. The store refuses writes that exceed its rate limit,
// and during an outage.
const retryAfter = 40 * time.Millisecond

type options struct {
	retryAfter   time.Duration
	backup       Backup
	complete     bool
	awaitMarkers bool
	reach        func() hgreach.State
}

// Option configures a ledger.
type Option func(o *options)

// WithRetryAfter sets the base pause between two attempts of a write; it doubles while the store keeps failing.
func WithRetryAfter(d time.Duration) Option { return func(o *options) { o.retryAfter = d } }

// WithBackup sets the peers that hold copies of claims made while the store is unreachable. Without peers no such
// claims are made.
func WithBackup(b Backup) Option { return func(o *options) { o.backup = b } }

// WithAllProgramsKnown tells the ledger whether it knows all programs served so far, as at the first start of a site, when
// there are none.
func WithAllProgramsKnown(complete bool) Option { return func(o *options) { o.complete = complete } }

// WithMarkers announces that SetMarkers will be called. Until then no budget is granted for a program whose row has not
// been read.
func WithMarkers() Option { return func(o *options) { o.awaitMarkers = true } }

// WithReachability tells the ledger how the store answers this node. Without it the store counts as reachable.
func WithReachability(state func() hgreach.State) Option { return func(o *options) { o.reach = state } }

func newOptions(opts []Option) options {
	o := options{retryAfter: retryAfter, reach: func() hgreach.State { return hgreach.Reachable }}
	for _, set := range opts {
		set(&o)
	}
	return o
}
