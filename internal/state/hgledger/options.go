package hgledger

import (
	"time"

	"hyssopgrade/internal/state/hgreach"
)

// retryAfter is the base pause before a failed write is retried. The store refuses writes that exceed its rate limit,
// and during an outage.
const retryAfter = 40 * time.Millisecond

type options struct {
	retryAfter  time.Duration
	backup      Backup
	complete    bool
	reach       func() hgreach.State
	informed    func() bool
	textLimit   int64
	textDropped func(programs int)
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

// WithReachability tells the ledger how the store answers this node. Without it the store counts as reachable.
func WithReachability(state func() hgreach.State) Option { return func(o *options) { o.reach = state } }

// WithInformed tells the ledger whether this process has read the watched table from the store since it started. Until then it does not
// vouch for programs being new. Without it the ledger counts as informed.
func WithInformed(informed func() bool) Option { return func(o *options) { o.informed = informed } }

// WithTextLimit bounds the bytes of the text of stored turns that the ledger keeps in memory. Beyond it the texts of the programs that were
// used longest ago are read from the store again when they are needed; dropped is called with the number of these programs.
func WithTextLimit(n int64, dropped func(programs int)) Option {
	return func(o *options) { o.textLimit, o.textDropped = n, dropped }
}

func newOptions(opts []Option) options {
	o := options{retryAfter: retryAfter, reach: func() hgreach.State { return hgreach.Reachable }, informed: func() bool { return true }}
	for _, set := range opts {
		set(&o)
	}
	return o
}
