package hgentry

import (
	"context"
	"sync/atomic"
	"time"

	"hyssopgrade/internal/serve/hgdesired"
)

const (
	// lastAnswerTime is the end of the time of a stop, in which requests that are still under way get an answer of this node's own.
	lastAnswerTime = 100 * time.Millisecond
	// leastIdempotentTime is the time for which an idempotent request is still passed on. It mostly needs a small part of its timeout, and
	// may run again elsewhere if it needs more.
	leastIdempotentTime = 100 * time.Millisecond
)

// stop is the shutdown of an Entry.
type stop struct {
	// at is when requests under way end, in nanoseconds of the timer; 0 if no stop is under way.
	at atomic.Int64
	// ended is done at that time.
	ended context.Context
	end   context.CancelFunc
}

// Stop begins draining: each response that begins from now on carries "Connection: close", so that callers reconnect elsewhere. Requests
// that may not end within the time that is left are refused, unless a replica runs them already.
func (e *Entry) Stop(left time.Duration) {
	left = max(left-lastAnswerTime, 0)
	e.stop.at.Store(int64(e.timer.Now() + left))
	e.timer.After(left, func(time.Duration) { e.stop.end() })
}

// isStopping reports whether the entry is draining.
func (e *Entry) isStopping() bool { return e.stop.at.Load() > 0 }

// isTooLate reports whether the entry is draining and the request may not end before it has.
func (x *exchange) isTooLate() bool {
	end := time.Duration(x.entry.stop.at.Load())
	switch {
	case end == 0:
		return false
	case x.route.Kind == hgdesired.Idempotent:
		return end-x.entry.timer.Now() < leastIdempotentTime
	}
	return x.deadline > end
}
