package hgfeed

import (
	"context"
	"time"
)

// Option changes a watch.
type Option func(w *Watch)

// WithWait sets how long the store may hold a call without changes. Where peers tell of newer versions, a wait longer than
// UsualWait saves calls.
func WithWait(wait func() time.Duration) Option { return func(w *Watch) { w.wait = wait } }

// behindFor is how long a peer may know of a newer version before a long call that waits for it is ended.
const behindFor = 250 * time.Millisecond

// waiting is a call that waits for changes.
type waiting struct {
	// end ends the call; nil if there is none.
	end   context.CancelFunc
	began time.Duration
	// wait is how long the store may hold it.
	wait time.Duration
}

// isLong says whether the store may hold the call for longer than usual. Only such a call is ended early: one with the usual
// wait ends soon by itself, and its failure is what shows that the store is silent.
func (c waiting) isLong() bool { return c.end != nil && c.wait > UsualWait }

// begin notes a call that waits for changes; the returned function ends it.
func (w *Watch) begin(ctx context.Context) (call context.Context, wait time.Duration, end func()) {
	wait = w.wait()
	call, cancel := context.WithCancel(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.newer > w.copy.Version {
		wait = min(wait, UsualWait)
	}
	w.call = waiting{end: cancel, began: w.timer.Now(), wait: wait}
	return call, wait, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.call = waiting{}
		cancel()
	}
}

// Hurry ends a call that has waited for longer than usual, as its connection may have fallen silent.
func (w *Watch) Hurry() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.call.isLong() && w.timer.Now()-w.call.began > UsualWait {
		w.call.end()
	}
}

// Behind tells that a peer knows of a change. If that does not come soon, a long call that waits for it is ended.
func (w *Watch) Behind(changed uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.timer.Now()
	switch {
	case changed <= w.copy.Version:
	case w.newer <= w.copy.Version:
		w.newer, w.told = changed, now
	case now-w.told > behindFor && w.call.isLong():
		w.log.Info("feed is behind a peer", "table", w.table, "version", w.copy.Version, "newer", changed)
		w.call.end()
	}
}
