package hgentry

import "hyssopgrade/internal/serve/hgteam"

// Freshness reports whether this node may still serve keys: whether its desired state was the newest recently enough.
type Freshness interface {
	Fresh() bool
}

// Option configures an Entry.
type Option func(e *Entry)

// WithFreshness sets what requests with a key depend on; without it they depend on nothing.
func WithFreshness(f Freshness) Option { return func(e *Entry) { e.freshness = f } }

// authorize finds the team of the request and reports whether the request may go on. If not, it has responded to the caller.
func (x *exchange) authorize() bool {
	x.team = hgteam.Team{}
	return true
}
