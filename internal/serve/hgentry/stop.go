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
	// at is when the requests under way are ended; 0 if no stop is under way. From lateFrom on, requests that may not end before are
	// refused. Both are in nanoseconds of the timer.
	at, lateFrom atomic.Int64
	// ended is done when the requests under way are to end.
	ended context.Context
	end   context.CancelFunc
}

// Stop begins draining, which ends when left has passed: each response that begins from now on carries "Connection: close", so that callers
// reconnect elsewhere. Callers may not know of the stop for the time leave. Requests that come later and may not end within the
// time that is left are refused, unless a replica runs them already.
func (e *Entry) Stop(leave, left time.Duration) {
	now := e.timer.Now()
	left = max(left-lastAnswerTime, 0)
	e.stop.lateFrom.Store(int64(now + leave))
	e.stop.at.Store(int64(now + left))
	e.timer.After(left, func(time.Duration) { e.stop.end() })
}

// isStopping reports whether the entry is draining.
func (e *Entry) isStopping() bool { return e.stop.at.Load() > 0 }

// isTooLate reports whether the entry has been draining for a while and the request may not end before it has.
func (x *exchange) isTooLate() bool {
	now, end := x.entry.timer.Now(), time.Duration(x.entry.stop.at.Load())
	switch {
	case end == 0 || now < time.Duration(x.entry.stop.lateFrom.Load()):
		return false
	case x.route.Kind == hgdesired.Idempotent:
		return end-now < leastIdempotentTime
	}
	return x.deadline > end
}
